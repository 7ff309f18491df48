#include "plumspoke/http/server.hpp"

#include "connection_sockets.hpp"
#include "plumspoke/logging/logging.hpp"
#include "response_text.hpp"

#include <algorithm>
#include <array>
#include <civetweb.h>
#include <csignal>
#include <utility>
#define URCU_INLINE_SMALL_FUNCTIONS
#include <chrono>
#include <thread>
#include <urcu/urcu-memb.h>

namespace plumspoke::http
{

namespace
{

constexpr std::size_t read_chunk = 16 * 1024;
// If more than this share of the threads serve open connections, connections are closed after their response;
// the remaining threads serve bursts.
constexpr double keep_alive_thread_share = 0.75;
constexpr auto idle_check_interval = milliseconds(100);
// Requests that have waited because the process was suspended are read now, and not refused.
constexpr auto max_queue_check_interval = milliseconds(500);
constexpr auto idle_close_interval = milliseconds(1000); // each close looks at all open sockets
// Clients close a connection themselves once they have read the response that announces its end.
constexpr auto linger_time = milliseconds(10);
constexpr auto linger_check_interval = milliseconds(10);
// Clients that keep to the announced timeout never send a request while the server closes the connection.
constexpr auto announced_timeout_margin = milliseconds(1000);
constexpr auto defer_accept_limit = seconds(60);
// CivetWeb's timeout also expires while the process is suspended, and closes a connection without a last look
// at what has arrived. It only takes effect if the socket of an expired connection is not found.
constexpr auto fallback_timeout_margin = seconds(60);
// A thread that takes a connection sooner after it has closed the previous one has found it in the queue.
constexpr auto min_thread_idle_time = milliseconds(1);

/// @brief Result of reading a request body.
enum class body_result : std::uint8_t
{
    whole,
    too_large,
    too_short,
    too_slow,
};

/// @brief Blocks all signals on the calling thread: CivetWeb closes a connection whose wait is interrupted.
void block_signals()
{
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

} // namespace

struct server::context
{
    mg_context* civetweb = nullptr;
};

/// @brief Callbacks invoked by CivetWeb.
struct server::callbacks
{
    static server& owner(const mg_connection* connection)
    {
        return *static_cast<server*>(mg_get_user_data(mg_get_context(connection)));
    }

    /// @brief State of one of CivetWeb's threads, used by that thread only.
    struct thread_state
    {
        time_point idle_since;
        served_connection* current = nullptr;
    };

    static void* init_thread(const mg_context* /*context*/, int /*type*/)
    {
        block_signals();
        urcu_memb_register_thread();
        return std::make_unique<thread_state>().release();
    }

    static void exit_thread(const mg_context* /*context*/, int /*type*/, void* state)
    {
        const std::unique_ptr<thread_state> ended(static_cast<thread_state*>(state));
        urcu_memb_unregister_thread();
    }

    static thread_state& current_thread(const mg_connection* connection)
    {
        return *static_cast<thread_state*>(mg_get_thread_pointer(connection));
    }

    /// @brief Called when a thread takes a connection, which may have been queued until the thread was free.
    static int init_connection(const mg_connection* connection, void** user_data)
    {
        server& self = owner(connection);
        ++self.open_connections_;
        ++self.connections_;
        served_connection& added = self.idle_connections_.add();
        const auto thread_idle_time = boot_clock::now() - current_thread(connection).idle_since;
        added.set_queued(thread_idle_time < min_thread_idle_time);
        current_thread(connection).current = &added;
        *user_data = &added;
        return 0;
    }

    static served_connection& served(const mg_connection* connection)
    {
        return *static_cast<served_connection*>(mg_get_user_connection_data(connection));
    }

    /// @brief Called before the socket is closed, and after the last read from it.
    static void close_connection(const mg_connection* connection)
    {
        server& self = owner(connection);
        served_connection& ended = served(connection);
        self.idle_connections_.end(ended); // may wait for a search; what arrives meanwhile is answered
        if (ended.expired() || ended.closing())
        {
            self.answer_late_request(ended);
        }
    }

    static void connection_closed(const mg_connection* connection)
    {
        thread_state& thread = current_thread(connection);
        server& self = owner(connection);
        self.idle_connections_.remove(*thread.current);
        --self.open_connections_;
        thread.idle_since = boot_clock::now();
    }

    /// @brief Called if a request could not be read.
    /// @return whether CivetWeb writes the response
    static int report_error(mg_connection* connection, int /*status*/, const char* /*text*/)
    {
        server& self = owner(connection);
        const served_connection& current = served(connection);
        if (!current.closing() && !current.expired())
        {
            return 1;
        }
        const std::string text = serialize(self.refuse_after_close(), milliseconds(0));
        mg_write(connection, text.data(), text.size());
        return 0;
    }

    static int log_message(const mg_connection* connection, const char* text)
    {
        const server& self = owner(connection);
        if (!self.started_)
        {
            PLUMSPOKE_LOG(WARNING, "http") << "Starting " << self.options_.address << ": " << text;
            return 1;
        }
        PLUMSPOKE_LOG(DEBUG, "http") << text;
        return 1;
    }

    static body_result read_body(mg_connection* connection, const server_options& options, std::string& body)
    {
        const mg_request_info* info = mg_get_request_info(connection);
        const char* encoding = mg_get_header(connection, "Transfer-Encoding");
        const long long content_length = info->content_length;
        if (content_length <= 0 && encoding == nullptr)
        {
            return body_result::whole;
        }
        if (content_length > options.max_body_bytes)
        {
            return body_result::too_large;
        }
        const auto limit = boot_clock::now() + milliseconds(options.read_ms);
        body.reserve(static_cast<std::size_t>(std::max(content_length, 0LL)));
        std::array<char, read_chunk> chunk{};
        while (content_length < 0 || std::cmp_less(body.size(), content_length))
        {
            const int count = mg_read(connection, chunk.data(), chunk.size());
            if (count <= 0)
            {
                break;
            }
            body.append(chunk.data(), static_cast<std::size_t>(count));
            if (std::cmp_greater(body.size(), options.max_body_bytes))
            {
                return body_result::too_large;
            }
            if (boot_clock::now() >= limit)
            {
                return body_result::too_slow;
            }
        }
        return content_length >= 0 && std::cmp_less(body.size(), content_length) ? body_result::too_short
                                                                                 : body_result::whole;
    }

    static response refuse_body(server& self, body_result end)
    {
        switch (end)
        {
        case body_result::too_large:
            ++self.counts_.body_too_large;
            return plain_error(
                413, "The body is larger than " + std::to_string(self.options_.max_body_bytes) + " bytes.\n");
        case body_result::too_slow:
            ++self.counts_.body_too_slow;
            return plain_error(
                408, "The body did not arrive within " + std::to_string(self.options_.read_ms) + " ms.\n");
        case body_result::too_short:
        case body_result::whole:
            break;
        }
        ++self.counts_.body_too_short;
        return plain_error(400, "The body is shorter than its Content-Length says.\n");
    }

    static int handle(mg_connection* connection, void* /*value*/)
    {
        server& self = owner(connection);
        const mg_request_info* info = mg_get_request_info(connection);
        served_connection& current = served(connection);
        current.begin_request({info->remote_addr, info->remote_port, info->server_port}, boot_clock::now());
        ++self.in_flight_;
        request received;
        received.read_client_state = [&self, &current] // small enough to need no allocation
        {
            return self.read_client_state(current);
        };
        received.was_queued = current.request_was_queued();
        if (received.was_queued && self.options_.max_queued_ms > 0)
        {
            received.queued_for = self.sockets_->time_since_arrival(current.ends());
        }
        received.method = info->request_method;
        received.path = info->local_uri == nullptr ? "/" : info->local_uri;
        received.query = info->query_string == nullptr ? "" : info->query_string;
        received.headers.reserve(static_cast<std::size_t>(info->num_headers));
        for (int i = 0; i < info->num_headers; ++i)
        {
            received.headers.push_back({info->http_headers[i].name, info->http_headers[i].value});
        }
        const body_result end = read_body(connection, self.options_, received.body);
        const response answer = current.closing()           ? self.refuse_after_close()
                                : end == body_result::whole ? self.handle_(received)
                                                            : refuse_body(self, end);
        // Idle connections, including those that never sent a request, must not occupy threads that new
        // callers need.
        const bool near_thread_limit = self.is_near_thread_limit();
        const bool draining = self.draining_;
        const bool close = answer.close || draining || near_thread_limit || current.expired();
        ++self.writes_; // before the claim, so that the end of a drain waits for it
        if (current.claim_response())
        {
            const std::string text = serialize(answer, milliseconds(close ? 0 : self.options_.keep_alive_ms));
            mg_write(connection, text.data(), text.size());
        }
        --self.writes_;
        // The thread reads what has arrived already, which would otherwise be discarded with the connection.
        if (close && end == body_result::whole)
        {
            current.begin_close(boot_clock::now());
        }
        else if (current.closing())
        {
            mg_disable_connection_keep_alive(connection);
        }
        --self.in_flight_;
        current.begin_idle_period();
        return answer.status;
    }
};

server::server(server_options options, handler handle)
    : options_(std::move(options)), handle_(std::move(handle)),
      pauses_(boot_clock::now(), idle_check_interval),
      idle_connections_({milliseconds(options_.keep_alive_ms) + announced_timeout_margin,
                         2 * idle_check_interval,
                         idle_close_interval,
                         linger_time}),
      sockets_(std::make_unique<socket_table>()), context_(std::make_unique<context>())
{
}

server::~server()
{
    stop();
}

bool server::start()
{
    mg_init_library(0);
    const std::string threads = std::to_string(options_.threads);
    const std::string header_bytes = std::to_string(options_.max_header_bytes);
    const std::string read_ms = std::to_string(options_.read_ms);
    const std::string idle_timeout_ms =
        std::to_string(options_.keep_alive_ms + milliseconds(fallback_timeout_margin).count());
    const char* const keep_alive = options_.keep_alive_ms > 0 ? "yes" : "no";
    std::array<const char*, 21> settings = {"listening_ports",
                                            options_.address.c_str(),
                                            "num_threads",
                                            threads.c_str(),
                                            "max_request_size",
                                            header_bytes.c_str(),
                                            "request_timeout_ms",
                                            read_ms.c_str(),
                                            "keep_alive_timeout_ms",
                                            idle_timeout_ms.c_str(),
                                            "enable_keep_alive",
                                            keep_alive,
                                            "tcp_nodelay",
                                            "1",
                                            "decode_url",
                                            "no",
                                            "listen_backlog",
                                            "1024",
                                            "connection_queue",
                                            "256",
                                            nullptr};
    mg_callbacks calls{};
    calls.init_thread = &callbacks::init_thread;
    calls.exit_thread = &callbacks::exit_thread;
    calls.init_connection = &callbacks::init_connection;
    calls.connection_close = &callbacks::close_connection;
    calls.connection_closed = &callbacks::connection_closed;
    calls.http_error = &callbacks::report_error;
    calls.log_message = &callbacks::log_message;
    context_->civetweb = mg_start(&calls, this, settings.data());
    if (context_->civetweb == nullptr)
    {
        return false;
    }
    started_ = true;
    mg_set_request_handler(context_->civetweb, "/", &callbacks::handle, nullptr);
    mg_server_port port{};
    if (mg_get_server_ports(context_->civetweb, 1, &port) == 1)
    {
        port_ = port.port;
        listener_ = find_listener(port_);
        defer_accept(listener_, defer_accept_limit);
    }
    idle_check_thread_ = std::thread(
        [this]
        {
            block_signals();
            run_idle_checks();
        });
    return true;
}

client_state server::read_client_state(served_connection& of) const
{
    if (of.socket() < 0)
    {
        of.set_socket(find_socket(of.ends()));
    }
    // The kernel counts while the process is stopped, and the pauses show that it was; either may be missing.
    const duration age =
        std::max(time_since_arrival(of.socket()), pauses_.max_age(boot_clock::now(), of.request_read_at()));
    return {!is_closed_by_peer(of.socket()), age};
}

void server::run_idle_checks()
{
    std::unique_lock lock(idle_check_mutex_);
    search_pace pace;
    while (!stopping_)
    {
        const time_point now = boot_clock::now();
        pauses_.tick(now);
        const bool any_closing = idle_connections_.check(now,
                                                         [&](idle_connections::connection_list expired)
                                                         {
                                                             if (pace.allows(now))
                                                             {
                                                                 end_waits(port_, expired);
                                                                 pace.record(now, boot_clock::now());
                                                             }
                                                         });
        if (now >= last_queue_check_at_ + idle_check_interval)
        {
            refuse_queued_too_long();
        }
        idle_check_wake_.wait_for(lock, any_closing ? linger_check_interval : idle_check_interval);
    }
}

void server::refuse_queued_too_long()
{
    const time_point now = boot_clock::now();
    const bool was_suspended = now > last_queue_check_at_ + max_queue_check_interval;
    last_queue_check_at_ = now;
    if (open_connections_ < options_.threads || was_suspended ||
        (options_.max_queued_ms == 0 && !refusing_queued_))
    {
        return;
    }
    const std::string refusal =
        serialize(refuse("No thread was free in time. The request was not executed.\n"), milliseconds(0));
    idle_connections_.visit(
        [&](idle_connections::connection_list all)
        {
            // A connection whose ends are not known yet can't be told from a queued one.
            if (std::all_of(all.begin(),
                            all.end(),
                            [](const served_connection* one)
                            {
                                return one->ends_known();
                            }))
            {
                const milliseconds shortest(refusing_queued_ ? 0 : options_.max_queued_ms);
                counts_.queued_too_long += answer_queued(port_, all, shortest, refusal);
            }
        });
}

response server::refuse_after_close()
{
    ++counts_.after_close;
    return refuse("The connection is being closed. The request was not executed.\n");
}

void server::answer_late_request(const served_connection& closing)
{
    if (options_.before_idle_close)
    {
        options_.before_idle_close();
    }
    const bool was_idle = !closing.closing() && !draining_;
    const response answer =
        was_idle ? plain_error(408, "The connection was idle for too long. The request was not executed.\n")
                 : refuse("The connection is being closed. The request was not executed.\n");
    const bool answered = answer_unread(closing, serialize(answer, milliseconds(0)));
    (was_idle ? counts_.late_requests : counts_.after_close) += answered ? 1 : 0;
}

bool server::is_near_thread_limit() const noexcept
{
    return static_cast<double>(open_connections_) >
           keep_alive_thread_share * static_cast<double>(options_.threads);
}

void server::stop()
{
    {
        const std::lock_guard lock(idle_check_mutex_);
        stopping_ = true;
    }
    idle_check_wake_.notify_all();
    if (idle_check_thread_.joinable())
    {
        idle_check_thread_.join();
    }
    if (context_->civetweb != nullptr)
    {
        mg_stop(context_->civetweb);
        context_->civetweb = nullptr;
    }
}

} // namespace plumspoke::http
