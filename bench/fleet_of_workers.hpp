#pragma once

/// @file
/// @brief Workers on one thread, each at a loopback address of its own, which run lasting tasks and hold
/// polls
///        as real ones do.

#include "plumspoke/jobs.grpc.pb.h"
#include "plumspoke/time/boot_timer.hpp"
#include "plumspoke/time/time_of_day.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

namespace plumspoke::bench
{

class fleet_of_workers
{
  public:
    explicit fleet_of_workers(std::size_t count)
        : acceptor_(context_, tcp::endpoint(tcp::v4(), 0)), workers_(count), thread_(
                                                                                 [this]
                                                                                 {
                                                                                     accept();
                                                                                     context_.run();
                                                                                 })
    {
    }
    fleet_of_workers(const fleet_of_workers&) = delete;
    fleet_of_workers& operator=(const fleet_of_workers&) = delete;
    ~fleet_of_workers()
    {
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] static std::string name_of(std::size_t number)
    {
        return "w" + std::to_string(number);
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return workers_.size();
    }

    /// @brief Number of tasks that run.
    [[nodiscard]] std::size_t running() const noexcept
    {
        return running_;
    }

    [[nodiscard]] wire::WorkerAnnouncement announcement_of(std::size_t number, std::uint64_t sequence) const
    {
        wire::WorkerAnnouncement out;
        out.set_id(name_of(number));
        out.set_born_ms(1);
        out.set_service("pool");
        out.set_address("127.1." + std::to_string(number / hosts_per_network) + "." +
                        std::to_string(1 + number % hosts_per_network) + ":" +
                        std::to_string(acceptor_.local_endpoint().port()));
        out.set_zone("z");
        out.add_labels("kind");
        out.set_rack("r" + std::to_string(number % 100));
        out.mutable_room()->set_cpu_milli(16'000);
        out.mutable_room()->set_memory_mb(64'000);
        out.set_sequence(sequence);
        out.set_vm("vm" + std::to_string(number));
        return out;
    }

    /// @brief Ends all runs as if the leases of all workers had lapsed.
    void lapse_all()
    {
        std::promise<void> done;
        boost::asio::post(context_,
                          [this, &done]
                          {
                              for (worker& one : workers_)
                              {
                                  one.lapse();
                              }
                              running_ = 0;
                              done.set_value();
                          });
        done.get_future().wait();
    }

  private:
    static constexpr std::size_t hosts_per_network = 250;

    using tcp = boost::asio::ip::tcp;
    using message = boost::beast::http::request<boost::beast::http::string_body>;
    using reply = boost::beast::http::response<boost::beast::http::string_body>;

    struct peer
    {
        explicit peer(tcp::socket accepted) : socket(std::move(accepted)), wait(socket.get_executor())
        {
        }
        tcp::socket socket;
        boost::asio::steady_timer wait;
        boost::beast::flat_buffer buffer;
        message received;
        reply answer;
    };

    struct run
    {
        std::string task;
        std::int64_t attempt = 0;
    };
    struct ended_run
    {
        std::uint64_t number = 0;
        run which;
    };

    struct worker
    {
        std::vector<run> running;
        std::vector<ended_run> finished;
        std::uint64_t last_end = 0;

        void lapse()
        {
            for (run& one : running)
            {
                finished.push_back({++last_end, std::move(one)});
            }
            running.clear();
        }

        void forget(std::uint64_t last_seen)
        {
            std::erase_if(finished,
                          [last_seen](const ended_run& one)
                          {
                              return one.number <= last_seen;
                          });
        }

        [[nodiscard]] std::string lists() const
        {
            std::string out = R"(,"running":[)";
            for (const run& one : running)
            {
                out += (&one == running.data() ? "" : ",") + std::string("[\"") + one.task + "\"," +
                       std::to_string(one.attempt) + R"(,"",100,10])";
            }
            out += R"(],"finished":[)";
            for (const ended_run& one : finished)
            {
                out += (&one == finished.data() ? "[" : ",[") + std::to_string(one.number) + ",\"" +
                       one.which.task + "\"," + std::to_string(one.which.attempt) + R"(,"lapsed",""])";
            }
            return out + "]";
        }
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
                                               handle(to);
                                           }
                                       });
    }

    void handle(const std::shared_ptr<peer>& to)
    {
        const nlohmann::json body = nlohmann::json::parse(to->received.body());
        worker& called = workers_.at(std::stoul(std::string(to->received["Expected-Instance"]).substr(1)));
        if (to->received.target() == "/hold")
        {
            called.forget(body["last-seen"]);
            const std::int64_t wait_ms = body.value("wait-ms", std::int64_t{0});
            if (wait_ms > 0 && called.finished.empty())
            {
                to->wait.expires_after(std::chrono::milliseconds(wait_ms));
                to->wait.async_wait(
                    [this, to, &called](boost::system::error_code)
                    {
                        answer(to, called.lists());
                    });
                return;
            }
            answer(to, called.lists());
            return;
        }
        if (to->received.target() == "/run-start")
        {
            called.running.push_back({body["task"], body["attempt"]});
            ++running_;
        }
        answer(to, {});
    }

    void answer(const std::shared_ptr<peer>& to, const std::string& content)
    {
        to->answer = reply();
        to->answer.body() =
            R"({"clock-ms":)" + std::to_string(time_of_day_ms()) + R"(,"born":1)" + content + "}";
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

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::vector<worker> workers_;
    std::atomic<std::size_t> running_{0};
    std::thread thread_;
};

} // namespace plumspoke::bench
