#include "plumspoke/job_server/worker_client.hpp"

#include "plumspoke/job_server/order_queue.hpp"
#include "plumspoke/metrics/thread_meter.hpp"
#include "plumspoke/time/boot_timer.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

namespace plumspoke::job_server
{

namespace
{

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

constexpr auto order_timeout = milliseconds(700); // an answer takes a few ms, the network round trip 8 ms
// Two polls in a row may hit unresponsive connections before a 4 s lease, granted one poll earlier, has to be
// renewed: 1 s + (1 s + 0.7 s) + 0.5 s and the pauses in between leave 0.6 s. The second poll does not wait
// at the worker.
constexpr auto poll_margin = order_timeout; // added to the wait that a poll requests
constexpr auto short_poll_timeout = milliseconds(500);
// If the timeout handler itself runs this late, this thread is late, not the worker.
constexpr auto late_threshold = milliseconds(50);
// The call is then extended once by this time, enough to read about 500 answers that have arrived.
constexpr auto late_extension = milliseconds(250);
constexpr auto idle_timeout = seconds(30);
constexpr auto crowded_idle_timeout = milliseconds(500); // while all connections allowed are open
constexpr std::size_t max_response_bytes = 8U << 20U;

std::optional<tcp::endpoint> parse_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code failed;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), failed);
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (failed || parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

/// @brief Serializes a request into one string. With thousands of orders per second, the library's field and
///        buffer types are too slow.
std::string to_text(const http::request& request, const std::string& host)
{
    std::string out;
    constexpr std::size_t usual_head = 256;
    out.reserve(usual_head + request.body.size());
    out.append(request.method)
        .append(" ")
        .append(request.path)
        .append(" HTTP/1.1\r\nHost: ")
        .append(host)
        .append("\r\n");
    for (const http::header& one : request.headers)
    {
        out.append(one.name).append(": ").append(one.value).append("\r\n");
    }
    out.append("Content-Length: ")
        .append(std::to_string(request.body.size()))
        .append("\r\n\r\n")
        .append(request.body);
    return out;
}

/// @brief Whether an order has no effect at its recipient.
bool is_read_only(const dispatch::order& order)
{
    const auto* hold = std::get_if<dispatch::poll_order>(&order);
    return hold != nullptr && !hold->lease_until_ms.has_value() && hold->ends_recorded == 0;
}

/// @brief Whether an order may be sent to any incarnation of the worker.
/// @note A stop has no effect on an incarnation that does not know the run; its effect is read from polls,
///       which name the incarnation.
bool is_valid_for_any_incarnation(const dispatch::order& order)
{
    return is_read_only(order) || std::holds_alternative<dispatch::stop_order>(order);
}

/// @brief Whether one order is the stop of the run that the other one starts.
bool cancels_start(const dispatch::order& stopping, const dispatch::order& starting)
{
    const auto* stop = std::get_if<dispatch::stop_order>(&stopping);
    const auto* start = std::get_if<dispatch::start_order>(&starting);
    return stop != nullptr && start != nullptr && start->name == stop->name;
}

/// @brief A poll that asks the recipient of an order for its lists, which include its time of birth.
dispatch::poll_order make_identity_query(const dispatch::order& order)
{
    return std::visit(
        [](const auto& one)
        {
            dispatch::poll_order query;
            query.to = one.to;
            query.fencing_token = one.fencing_token;
            return query;
        },
        order);
}

/// @brief The result of an order that was not written to any connection.
dispatch::worker_answer make_unsent_answer(const dispatch::order& order)
{
    dispatch::worker_answer answer;
    answer.how = std::holds_alternative<dispatch::start_order>(order) ? dispatch::reply::unsent
                                                                      : dispatch::reply::none;
    return answer;
}

milliseconds timeout_of(const dispatch::order& order)
{
    const auto* hold = std::get_if<dispatch::poll_order>(&order);
    if (hold == nullptr)
    {
        return order_timeout;
    }
    return hold->wait_ms > 0 ? milliseconds(hold->wait_ms) + poll_margin : short_poll_timeout;
}

} // namespace

/// @brief One connection with one exchange at a time; further orders are queued.
class worker_client::connection : public std::enable_shared_from_this<connection>
{
  public:
    connection(worker_client& owner, const dispatch::recipient& to)
        : owner_(&owner), to_(to), stream_(owner.context_), timeout_timer_(owner.context_)
    {
    }

    void send(dispatch::order order)
    {
        used_at_ = boot_clock::now();
        order_cancelled_ =
            order_cancelled_ || (in_flight_ && !order_written_ && cancels_start(order, current_->what));
        for (dispatch::order& dropped : waiting_.push(std::move(order)))
        {
            owner_->fail_unsent(std::move(dropped));
        }
        if (!in_flight_)
        {
            next();
        }
    }

    /// @brief Detaches from the owner: the handler is not called any more.
    void detach()
    {
        owner_ = nullptr;
        waiting_.clear();
        close();
    }

    [[nodiscard]] bool idle_since(time_point before) const noexcept
    {
        return !in_flight_ && used_at_ < before;
    }

  private:
    void next()
    {
        if (owner_ == nullptr || waiting_.empty())
        {
            return;
        }
        in_flight_ = true;
        order_written_ = false;
        order_cancelled_ = false;
        current_.emplace();
        current_->what = waiting_.pop();
        current_->sent_at = boot_clock::now();
        if (is_open_)
        {
            send_current();
            return;
        }
        const std::optional<tcp::endpoint> to = parse_address(to_.address);
        if (!to.has_value())
        {
            finish({});
            return;
        }
        start_timeout(order_timeout);
        stream_.async_connect(*to,
                              [self = shared_from_this()](boost::system::error_code error)
                              {
                                  self->on_connected(error);
                              });
    }

    /// @brief Closes the connection if the exchange takes longer than the limit.
    void start_timeout(milliseconds limit)
    {
        timed_out_ = false;
        extended_ = false;
        timeout_timer_.expires_after(limit);
        wait_for_timeout();
    }

    void wait_for_timeout()
    {
        timeout_timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    self->on_timeout(boot_clock::now());
                }
            });
    }

    void on_timeout(time_point now)
    {
        if (!in_flight_ || now < timeout_timer_.expiry())
        {
            return; // the exchange ended while this handler was queued
        }
        // Expired timers are handled before most sockets are read: a late thread would treat all these
        // workers as unresponsive and reconnect to each of them.
        if (now > timeout_timer_.expiry() + late_threshold && !extended_)
        {
            extended_ = true;
            timeout_timer_.expires_after(late_extension);
            wait_for_timeout();
            return;
        }
        timed_out_ = true;
        boost::system::error_code ignored; // errors on close are irrelevant
        stream_.socket().close(ignored);
    }

    void on_connected(boost::system::error_code failed)
    {
        if (failed)
        {
            close();
            finish({});
            return;
        }
        is_open_ = true;
        boost::system::error_code ignored; // without no_delay, small orders are only slower
        stream_.socket().set_option(tcp::no_delay(true), ignored);
        send_current();
    }

    void send_current()
    {
        if (order_cancelled_)
        {
            finish({});
            return;
        }
        verifying_incarnation_ = to_.worker.born_ms != 0 && !incarnation_verified_ &&
                                 !is_valid_for_any_incarnation(current_->what);
        write(verifying_incarnation_ ? dispatch::order(make_identity_query(current_->what)) : current_->what);
    }

    void write(const dispatch::order& order)
    {
        if (owner_ == nullptr)
        {
            return;
        }
        order_written_ = !verifying_incarnation_;
        const metrics::scoped_loop_part writing(metrics::loop_part::write_order);
        request_ = to_text(owner_->protocol_.write(order), to_.address);
        // Restarted here: if this thread is late, connecting would otherwise have used up the timeout.
        start_timeout(timeout_of(order));
        boost::asio::async_write(stream_.socket(),
                                 boost::asio::buffer(request_),
                                 [self = shared_from_this()](boost::system::error_code error, std::size_t)
                                 {
                                     self->on_written(error);
                                 });
    }

    void on_written(boost::system::error_code failed)
    {
        if (failed)
        {
            count_timeout();
            close();
            finish({});
            return;
        }
        parser_.emplace();
        parser_->body_limit(max_response_bytes);
        beast::http::async_read(stream_,
                                buffer_,
                                *parser_,
                                [self = shared_from_this()](boost::system::error_code error, std::size_t)
                                {
                                    self->on_received(error);
                                });
    }

    void on_received(boost::system::error_code failed)
    {
        if (failed)
        {
            count_timeout();
            close();
            finish({});
            return;
        }
        http::response plain;
        plain.status = static_cast<int>(parser_->get().result_int());
        plain.body = std::move(parser_->get().body());
        has_answered_ = true;
        if (!parser_->get().keep_alive())
        {
            close();
        }
        if (owner_ == nullptr)
        {
            return;
        }
        const dispatch::worker_answer got = verify_incarnation(read_answer(plain));
        if (verifying_incarnation_ && got.how == dispatch::reply::done && is_open_ && !order_cancelled_)
        {
            verifying_incarnation_ = false;
            write(current_->what);
            return;
        }
        finish(verifying_incarnation_ && got.how == dispatch::reply::done ? dispatch::worker_answer() : got);
    }

    [[nodiscard]] dispatch::worker_answer read_answer(const http::response& plain) const
    {
        const metrics::scoped_loop_part reading(metrics::loop_part::read_answer);
        return owner_->protocol_.read(
            verifying_incarnation_ ? dispatch::order(make_identity_query(current_->what)) : current_->what,
            plain);
    }

    /// @brief Verifies the worker's incarnation from an answer that contains its time of birth.
    [[nodiscard]] dispatch::worker_answer verify_incarnation(dispatch::worker_answer got)
    {
        const bool is_list =
            verifying_incarnation_ || std::holds_alternative<dispatch::poll_order>(current_->what);
        if (to_.worker.born_ms == 0 || !is_list || got.how != dispatch::reply::done)
        {
            return got;
        }
        incarnation_verified_ = got.born_ms.value_or(to_.worker.born_ms) == to_.worker.born_ms;
        if (incarnation_verified_)
        {
            return got;
        }
        dispatch::worker_answer other;
        other.how = dispatch::reply::other_life;
        other.born_ms = got.born_ms;
        return other;
    }

    void count_timeout()
    {
        if (owner_ == nullptr || !has_answered_ || !timed_out_)
        {
            return;
        }
        const bool poll = std::holds_alternative<dispatch::poll_order>(current_->what);
        ++(poll ? owner_->timed_out_calls_.polls : owner_->timed_out_calls_.orders);
    }

    void finish(dispatch::worker_answer got)
    {
        const dispatch::sent_order ended = std::move(*current_);
        if (got.how == dispatch::reply::none && !order_written_)
        {
            got = make_unsent_answer(ended.what);
        }
        current_.reset();
        in_flight_ = false;
        timeout_timer_.cancel();
        if (owner_ == nullptr)
        {
            return;
        }
        owner_->handle_(ended, got);
        if (!in_flight_)
        {
            next();
        }
    }

    /// @brief Closes the connection, so that a late answer is not read by the next exchange.
    void close()
    {
        boost::system::error_code ignored; // errors on close are irrelevant
        stream_.socket().close(ignored);
        buffer_.clear();
        is_open_ = false;
        has_answered_ = false;
        incarnation_verified_ = false;
    }

    worker_client* owner_;
    dispatch::recipient to_;
    beast::tcp_stream stream_;
    boot_timer timeout_timer_;
    beast::flat_buffer buffer_;
    std::string request_; // serialized; must outlive the write
    std::optional<beast::http::response_parser<beast::http::string_body>> parser_;
    order_queue waiting_;
    std::optional<dispatch::sent_order> current_;
    time_point used_at_{};
    bool in_flight_ = false;
    bool is_open_ = false;
    bool timed_out_ = false;
    bool extended_ = false;              // the current exchange was extended
    bool has_answered_ = false;          // on this connection
    bool incarnation_verified_ = false;  // the peer is the intended incarnation
    bool verifying_incarnation_ = false; // the identity query is in flight, before the current order
    bool order_written_ = false;         // the current order was sent, not only its identity query
    bool order_cancelled_ = false;       // the current order was cancelled before it was written
};

worker_client::worker_client(boost::asio::io_context& context,
                             const protocol::worker_protocol& protocol,
                             answer_handler handle,
                             std::size_t max_connections)
    : context_(context), protocol_(protocol), handle_(std::move(handle)), max_connections_(max_connections)
{
}

worker_client::~worker_client()
{
    reset();
}

void worker_client::send(dispatch::order order)
{
    const bool poll = std::holds_alternative<dispatch::poll_order>(order);
    const dispatch::recipient& recipient = std::visit(
        [](const auto& one) -> const dispatch::recipient&
        {
            return one.to;
        },
        order);
    const std::shared_ptr<connection> to =
        find_or_open(poll ? poll_connections_ : order_connections_, recipient);
    if (to == nullptr)
    {
        ++without_connection_;
        fail_unsent(std::move(order));
        return;
    }
    to->send(std::move(order));
}

// Keyed by incarnation: a new one at the same address does not wait behind unanswered calls to the old one.
std::shared_ptr<worker_client::connection> worker_client::find_or_open(connections_by_incarnation& pool,
                                                                       const dispatch::recipient& to)
{
    const auto found = pool.find(to.worker);
    if (found != pool.end())
    {
        return found->second;
    }
    if (!ensure_capacity())
    {
        return nullptr;
    }
    auto added = std::make_shared<connection>(*this, to);
    pool[to.worker] = added;
    count_connections();
    return added;
}

void worker_client::count_connections() noexcept
{
    open_connections_ = poll_connections_.size() + order_connections_.size();
}

// Guards against running out of file descriptors, with more workers than descriptors or workers that restart
// in quick succession. A process without descriptors is unreachable for its peers, which is worse than a few
// delayed orders.
bool worker_client::ensure_capacity()
{
    if (max_connections_ == 0 || connections() < max_connections_)
    {
        return true;
    }
    expire_idle(boot_clock::now() - crowded_idle_timeout);
    return connections() < max_connections_;
}

void worker_client::fail_unsent(dispatch::order order)
{
    boost::asio::post(
        context_,
        [this, reset = resets_, sent = dispatch::sent_order{std::move(order), boot_clock::now()}]
        {
            if (reset == resets_)
            {
                handle_(sent, make_unsent_answer(sent.what));
            }
        });
}

void worker_client::reset()
{
    ++resets_;
    for (auto* all : {&poll_connections_, &order_connections_})
    {
        for (auto& [address, one] : *all)
        {
            one->detach();
        }
        all->clear();
    }
    count_connections();
}

void worker_client::expire(time_point now)
{
    expire_idle(now - idle_timeout);
}

void worker_client::expire_idle(time_point before)
{
    for (auto* all : {&poll_connections_, &order_connections_})
    {
        std::erase_if(*all,
                      [before](const auto& entry)
                      {
                          return entry.second->idle_since(before);
                      });
    }
    count_connections();
}

} // namespace plumspoke::job_server
