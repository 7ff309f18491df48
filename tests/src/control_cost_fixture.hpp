#pragma once

/// @file
/// @brief A control VM with workers that answer its calls, and the processor time that it uses, without that
/// of
///        its callers and workers.

#include "plumspoke/job_server/control_server.hpp"

#include "../../platform/control_plane.hpp"
#include "../../platform/workers.hpp"
#include "control_channel.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/time/time_of_day.hpp"
#include "silent_relay.hpp"
#include "single_control_vm_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <ctime>
#include <pthread.h>
#include <sys/resource.h>

namespace plumspoke::test
{

inline std::uint64_t read_clock_ns(clockid_t clock)
{
    timespec now{};
    ::clock_gettime(clock, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(now.tv_nsec);
}

inline void allow_all_files()
{
    rlimit files{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &files) == 0);
    files.rlim_cur = files.rlim_max;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &files) == 0);
}

/// @brief Sockets of this process that aren't used, connected to each other.
class unused_sockets
{
  public:
    explicit unused_sockets(std::size_t count)
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = socket_address("127.0.0.1:0");
        socklen_t size = sizeof address;
        REQUIRE(::bind(listener, reinterpret_cast<const sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(listener, SOMAXCONN) == 0);
        REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        const std::string to = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        while (sockets_.size() < count)
        {
            sockets_.push_back(connect_to(to));
            sockets_.push_back(::accept(listener, nullptr, nullptr));
            REQUIRE(sockets_.back() >= 0);
        }
        ::close(listener);
    }
    unused_sockets(const unused_sockets&) = delete;
    unused_sockets& operator=(const unused_sockets&) = delete;
    ~unused_sockets()
    {
        std::for_each(sockets_.begin(), sockets_.end(), &::close);
    }

  private:
    std::vector<int> sockets_;
};

/// @brief Workers at one address and on one thread, which answer each call at once. Tasks end as soon as they
///        start, unless their payload is `lasting`.
class answering_workers
{
  public:
    answering_workers()
        : acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          thread_(
              [this]
              {
                  accept();
                  context_.run();
              })
    {
        REQUIRE(::pthread_getcpuclockid(thread_.native_handle(), &clock_) == 0);
    }
    answering_workers(const answering_workers&) = delete;
    answering_workers& operator=(const answering_workers&) = delete;
    ~answering_workers()
    {
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] std::uint64_t polls() const noexcept
    {
        return polls_;
    }
    [[nodiscard]] std::uint64_t starts() const noexcept
    {
        return starts_;
    }
    [[nodiscard]] std::uint64_t processor_ns() const
    {
        return read_clock_ns(clock_);
    }

  private:
    using tcp = boost::asio::ip::tcp;
    using message = boost::beast::http::request<boost::beast::http::string_body>;
    using reply = boost::beast::http::response<boost::beast::http::string_body>;

    struct peer
    {
        explicit peer(tcp::socket accepted) : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        message received;
        reply answer;
    };

    /// @brief The runs of one worker, as rows of its answers.
    struct worker
    {
        nlohmann::json running = nlohmann::json::array();
        nlohmann::json finished = nlohmann::json::array();
        std::uint64_t last_end = 0;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code failed, tcp::socket accepted)
            {
                if (!failed)
                {
                    accepted.set_option(tcp::no_delay(true));
                    serve(std::make_shared<peer>(std::move(accepted)));
                    accept();
                }
            });
    }

    void serve(const std::shared_ptr<peer>& to)
    {
        to->received = {};
        boost::beast::http::async_read(to->socket,
                                       to->buffer,
                                       to->received,
                                       [this, to](boost::system::error_code failed, std::size_t)
                                       {
                                           if (!failed)
                                           {
                                               answer(to);
                                           }
                                       });
    }

    void answer(const std::shared_ptr<peer>& to)
    {
        const nlohmann::json body = nlohmann::json::parse(to->received.body());
        worker& called = workers_[std::string(to->received["Expected-Instance"])];
        nlohmann::json content = {{"clock-ms", time_of_day_ms()}, {"born", 1}};
        if (to->received.target() == "/hold")
        {
            ++polls_;
            std::erase_if(called.finished.get_ref<nlohmann::json::array_t&>(),
                          [&body](const nlohmann::json& row)
                          {
                              return row[0] <= body["last-seen"];
                          });
            content["running"] = called.running;
            content["finished"] = called.finished;
        }
        else if (to->received.target() == "/run-start")
        {
            ++starts_;
            start(called, body);
        }
        to->answer = reply();
        to->answer.body() = content.dump();
        to->answer.prepare_payload();
        boost::beast::http::async_write(to->socket,
                                        to->answer,
                                        [this, to](boost::system::error_code failed, std::size_t)
                                        {
                                            if (!failed)
                                            {
                                                serve(to);
                                            }
                                        });
    }

    static void start(worker& on, const nlohmann::json& order)
    {
        if (order["spec"] == "lasting")
        {
            on.running.push_back({order["task"], order["attempt"], "", 100, 10});
            return;
        }
        on.finished.push_back({++on.last_end, order["task"], order["attempt"], "done", ""});
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::map<std::string, worker> workers_;
    std::atomic<std::uint64_t> polls_{0};
    std::atomic<std::uint64_t> starts_{0};
    std::thread thread_;
    clockid_t clock_{};
};

/// @brief A control VM that leads, its workers, and the calls that others send it.
class measured_control_vm
{
  public:
    explicit measured_control_vm(std::size_t worker_count) : worker_count_(worker_count)
    {
        allow_all_files();
        REQUIRE(::mkdtemp(folder_.data()) != nullptr);
        settings_ = single_control_vm(folder_);
        settings_.http_threads = threads;
        settings_.keep_alive_ms = 600'000;
        server_ = std::make_unique<job_server::control_server>(settings_, no_seeds, operators_, protocol_);
        REQUIRE_FALSE(server_->start());
        channel_ = std::make_unique<job_server::control_channel>(settings_.internal);
        configure();
        for (std::size_t i = 0; i < worker_count_; ++i)
        {
            announce();
        }
    }
    measured_control_vm(const measured_control_vm&) = delete;
    measured_control_vm& operator=(const measured_control_vm&) = delete;
    ~measured_control_vm()
    {
        std::for_each(kept_.begin(), kept_.end(), &::close);
        server_->stop();
        std::filesystem::remove_all(folder_);
    }

    /// @brief Opens as many connections as the server keeps; with one more, most of its threads are in use.
    void use_most_threads()
    {
        while (kept_.size() < threads * 3 / 4)
        {
            kept_.push_back(connect_to(settings_.listen));
            read_configuration(kept_.back());
        }
    }

    [[nodiscard]] bool most_threads_in_use() const
    {
        return std::all_of(kept_.begin(),
                           kept_.end(),
                           [](int socket)
                           {
                               char next = 0;
                               return ::recv(socket, &next, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
                           });
    }

    /// @brief The announcement of one worker after the other, each on a new connection.
    void announce()
    {
        const std::size_t worker = announced_++ % worker_count_;
        const nlohmann::json body = {{"born", 1},
                                     {"service", "pool"},
                                     {"address", workers_.address()},
                                     {"zone", "z"},
                                     {"labels", {"kind", "rack" + std::to_string(worker % 10)}},
                                     {"free-capacity", {{"cpu", 16'000}, {"mem-mb", 64'000}, {"gpu", 0}}},
                                     {"state", "ready"},
                                     {"sequence", announced_},
                                     {"machine", "vm" + std::to_string(worker)}};
        const int socket = connect_to(settings_.listen);
        call(socket, "PUT", "/instances/w" + std::to_string(worker), body.dump());
        ::close(socket);
    }

    /// @brief An operator's call.
    void read_configuration(int socket) const
    {
        call(socket, "GET", "/config", "");
    }
    [[nodiscard]] int connect() const
    {
        return connect_to(settings_.listen);
    }

    /// @brief An entry's call.
    void submit(const std::string& payload, bool lasting = false)
    {
        jobs::job_spec spec;
        spec.payload = payload;
        jobs::step_spec step;
        step.needs = {100, 100, 0};
        step.lasting = lasting;
        spec.steps.push_back(step);
        wire::SubmitRequest request;
        request.set_host("host");
        request.set_path("/jobs/" + std::to_string(submitted_++));
        *request.mutable_spec() = jobs::to_wire(spec);
        request.set_limit_ms(static_cast<std::uint32_t>(call_timeout.count()));
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::JobReply answer;
        REQUIRE(channel_->stub().Submit(&context, request, &answer).ok());
        REQUIRE(static_cast<jobs::outcome>(answer.outcome()) == jobs::outcome::accepted);
    }

    /// @brief An entry's call.
    void ask_state() const
    {
        wire::JobRequest request;
        request.set_host("host");
        request.set_path("/jobs/0");
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::JobReply answer;
        REQUIRE(channel_->stub().State(&context, request, &answer).ok());
        REQUIRE(answer.acting());
    }

    [[nodiscard]] const answering_workers& workers() const noexcept
    {
        return workers_;
    }

    /// @brief The processor time of this process, without that of the calling thread and the workers.
    [[nodiscard]] std::uint64_t processor_ns() const
    {
        return read_clock_ns(CLOCK_PROCESS_CPUTIME_ID) - read_clock_ns(CLOCK_THREAD_CPUTIME_ID) -
               workers_.processor_ns();
    }

  private:
    static constexpr std::size_t threads = 24;
    static constexpr auto call_timeout = milliseconds(5000);

    static std::vector<std::string> no_seeds()
    {
        return {};
    }

    static void call(int socket, const std::string& method, const std::string& path, const std::string& body)
    {
        const std::string text = method + " " + path +
                                 " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body;
        REQUIRE(::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
        std::array<char, 4096> buffer{};
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.eager(true);
        while (!parser.is_done())
        {
            const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
            REQUIRE(count > 0);
            boost::system::error_code failed;
            parser.put(boost::asio::buffer(buffer.data(), static_cast<std::size_t>(count)), failed);
            REQUIRE_FALSE(failed);
        }
        REQUIRE(parser.get().result_int() == 200);
    }

    void configure()
    {
        jobs::configuration value;
        value.version = 1;
        value.services.push_back({"pool", true, false});
        jobs::queue queue;
        queue.name = "jobs";
        queue.host = "host";
        queue.path_prefix = "/jobs/";
        queue.service = "pool";
        value.queues.push_back(queue);
        value.document = "{}";
        wire::ConfigureRequest request;
        *request.mutable_configuration() = jobs::to_wire(value);
        wire::OrderReply answer;
        for (int i = 0; i < 100 && !answer.durable(); ++i)
        {
            std::this_thread::sleep_for(milliseconds(50)); // until it leads
            grpc::ClientContext context;
            job_server::set_timeout(context, call_timeout);
            (void)channel_->stub().Configure(&context, request, &answer);
        }
        REQUIRE(answer.durable());
    }

    std::size_t worker_count_;
    answering_workers workers_;
    std::string folder_ = (std::filesystem::temp_directory_path() / "plumspoke-cost-XXXXXX").string();
    settings::job_settings settings_;
    platform::control_plane operators_;
    platform::workers protocol_;
    std::unique_ptr<job_server::control_server> server_;
    std::unique_ptr<job_server::control_channel> channel_;
    std::vector<int> kept_;
    std::uint64_t announced_ = 0;
    std::uint64_t submitted_ = 0;
};

} // namespace plumspoke::test
