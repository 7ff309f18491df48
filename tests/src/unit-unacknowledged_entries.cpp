/// @file
/// @brief A leader limits the bytes of the entries that a member has not acknowledged.
///
/// Guards against messages to a slow member that take the memory of the leader: what is sent to it waits in
/// queues, which were limited by the number of messages alone.

#include "plumspoke/replica/node.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

constexpr std::size_t command_bytes = 256U << 10U;
constexpr std::size_t max_sent_bytes = 5U << 20U; // the limit and one more append
constexpr int commands = 100;                     // 25 MB

/// @brief A leader of three voters that has been elected by "b".
struct leader_fixture
{
    leader_fixture() : leader("a", node_options{}, make_state(), now, 1)
    {
        while (leader.take_output().messages.empty()) // until it asks for votes
        {
            now += milliseconds(10);
            leader.tick(now);
        }
        answer(pre_vote_reply{true}, leader.term() + 1);
        answer(vote_reply{true, 0}, leader.term());
        REQUIRE(leader.current_role() == role::leader);
        (void)take_sent();
        acknowledge(leader.last_index());
    }

    static restored_state make_state()
    {
        restored_state out;
        out.base.members = {{{"a", "a", "a", true}, {"b", "b", "b", true}, {"c", "c", "c", true}}};
        return out;
    }

    void answer(message_body body, term_number term)
    {
        leader.receive(now, {"b", "a", term, std::move(body)});
    }

    void acknowledge(log_index index)
    {
        answer(append_reply{true, index, to_microseconds(now)}, leader.term());
    }

    /// @brief Size of the entries sent to "b" since the last call, and the last of them.
    [[nodiscard]] std::size_t take_sent()
    {
        std::size_t bytes = 0;
        for (const message& sent : leader.take_output().messages)
        {
            const auto* body = std::get_if<append>(&sent.body);
            if (sent.to == "b" && body != nullptr)
            {
                bytes += data_bytes(body->entries);
                last_sent = std::max<log_index>(last_sent, body->previous_index + body->entries.size());
            }
        }
        leader.persisted(now);
        return bytes;
    }

    time_point now{seconds(3600)};
    node leader;
    log_index last_sent = 0;
};

} // namespace

TEST_CASE("entries are sent to a member as it acknowledges earlier ones")
{
    leader_fixture f;
    for (int i = 0; i < commands; ++i)
    {
        const std::vector<std::string> command{std::string(command_bytes, 'x')};
        REQUIRE(f.leader.propose(f.now, command).has_value());
    }
    std::size_t sent = f.take_sent();
    CHECK(sent > 0);
    CHECK(sent < max_sent_bytes);

    for (int i = 0; i < 10 * commands && f.leader.commit_index() < f.leader.last_index(); ++i)
    {
        f.now += milliseconds(1);
        f.acknowledge(f.last_sent);
        const std::size_t unacknowledged = f.take_sent();
        sent += unacknowledged;
        REQUIRE(unacknowledged < max_sent_bytes);
    }
    CHECK(sent == commands * command_bytes);
    CHECK(f.leader.commit_index() == f.leader.last_index());
}
