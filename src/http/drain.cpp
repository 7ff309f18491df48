/// @file
/// @brief The drain of a server.

#include "connection_sockets.hpp"
#include "plumspoke/http/server.hpp"
#include "response_text.hpp"

#include <algorithm>
#include <thread>

namespace plumspoke::http
{

namespace
{

constexpr auto poll_interval = milliseconds(25);
constexpr auto write_poll_interval = milliseconds(5);
constexpr auto write_timeout = milliseconds(100); // of responses in progress at the end of a drain
constexpr int min_write_polls = 2;
constexpr auto last_looks_time = milliseconds(200);

} // namespace

bool server::wait_until_idle(time_point limit, duration settle) const
{
    const auto required_polls = settle / duration(poll_interval);
    // A process that was suspended until the limit still has to read requests that arrived meanwhile, so
    // polling continues for a while. Polls are counted, not timed, so that a repeatedly suspended process
    // terminates too.
    const auto max_polls_after_limit = 1 + required_polls / 4;
    std::int64_t polls_after_limit = 0;
    for (std::int64_t idle_polls = 0; idle_polls < required_polls;)
    {
        std::this_thread::sleep_for(poll_interval);
        idle_polls = in_flight_ == 0 ? idle_polls + 1 : 0;
        polls_after_limit += boot_clock::now() >= limit ? 1 : 0;
        if (polls_after_limit >= max_polls_after_limit)
        {
            return in_flight_ == 0;
        }
    }
    return true;
}

drain_result server::finish_drain(time_point limit, duration settle)
{
    const auto required_polls = settle / duration(poll_interval);
    // At least one poll, in which a process that was suspended until the limit reads what arrived meanwhile.
    // What it does not read is answered below.
    bool limit_passed = false;
    for (std::int64_t closed_polls = 0; closed_polls < required_polls && !limit_passed;)
    {
        idle_connections_.expire_all(
            [this](idle_connections::connection_list expired)
            {
                end_waits(port_, expired);
            });
        std::this_thread::sleep_for(poll_interval);
        closed_polls = open_connections_ == 0 ? closed_polls + 1 : 0;
        limit_passed = boot_clock::now() >= limit;
    }
    drain_result out = answer_remaining();
    stop_listening(listener_);
    // A thread may have read a request and not begun it yet, or begin it now.
    const time_point looks_end = boot_clock::now() + last_looks_time;
    bool looks_end_passed = false;
    while (!looks_end_passed)
    {
        wait_for_writes();
        looks_end_passed = boot_clock::now() >= looks_end;
        const drain_result later = answer_remaining();
        out.in_flight += later.in_flight;
        out.queued += later.queued;
        looks_end_passed = looks_end_passed || open_connections_ == 0;
    }
    wait_for_writes();
    return out;
}

// A process that was suspended until the limit hasn't written anything meanwhile, so there is a least number
// of polls.
void server::wait_for_writes() const
{
    const time_point limit = boot_clock::now() + write_timeout;
    int polls = 0;
    do
    {
        std::this_thread::sleep_for(write_poll_interval);
        ++polls;
    } while (writes_ > 0 && (polls < min_write_polls || boot_clock::now() < limit));
}

drain_result server::answer_remaining()
{
    const std::string may_be_done = serialize(
        plain_error(504, "The server stopped before the request ended. It may have been executed.\n"),
        milliseconds(0));
    const std::string not_done =
        serialize(refuse("The server has stopped. The request was not executed.\n"), milliseconds(0));
    drain_result out;
    idle_connections_.visit(
        [&](idle_connections::connection_list all)
        {
            if (!all.empty())
            {
                find_sockets(port_, all);
            }
            for (served_connection* one : all)
            {
                if (one->ended())
                {
                    continue; // its number may belong to another connection by now
                }
                if (one->socket() >= 0 && one->claim_response())
                {
                    out.in_flight += send_response(*one, may_be_done) ? 1 : 0;
                    end_connection(
                        *one); // its thread is still busy, and would read no further request in time
                }
                else if (one->expired() || one->closing())
                {
                    out.queued += answer_unread(*one, not_done) ? 1 : 0;
                }
            }
            out.queued += answer_queued(port_, all, duration::zero(), not_done);
            out.queued += answer_backlog(listener_, not_done);
        });
    return out;
}

} // namespace plumspoke::http
