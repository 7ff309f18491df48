#include "plumspoke/http/client.hpp"
#include "stand_in.hpp"

#include <chrono>
#include <fstream>
#include <random>
#include <sstream>

namespace plumspoke::stand_in
{

namespace
{

constexpr auto tick = milliseconds(20);
constexpr auto call_limit = milliseconds(800);

/// Returns the number after `name=` in a payload or query, or `fallback` if there is none.
std::int64_t parse_number(const std::string& text, const std::string& name, std::int64_t fallback)
{
    const std::size_t at = text.find(name + "=");
    return at == std::string::npos ? fallback : std::atoll(text.c_str() + at + name.size() + 1);
}

std::string random_hex()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

} // namespace

worker::worker(worker_options options) : options_(std::move(options)), incarnation_(random_hex())
{
}

worker::~worker()
{
    stop();
}

bool worker::start()
{
    http::server_options options;
    options.address = options_.endpoint;
    options.threads = 72;
    http_ = std::make_unique<http::server>(options,
                                           [this](const http::request& received)
                                           {
                                               return answer(received);
                                           });
    if (!http_->start())
    {
        return false;
    }
    if (!options_.control.empty())
    {
        thread_ = std::thread(
            [this]
            {
                run_tasks();
            });
    }
    return true;
}

void worker::stop()
{
    stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
    if (http_ != nullptr)
    {
        http_->stop();
    }
}

http::response worker::answer(const http::request& received)
{
    http::response result;
    result.content_type = "application/json";
    if (received.path == "/stand_in/stats")
    {
        result.body = nlohmann::json({{"answered", answered_.load()},
                                      {"most_in_flight", most_in_flight_.load()},
                                      {"over_slots", over_slots_.load()}})
                          .dump();
        return result;
    }
    const std::int64_t now_running = ++in_flight_;
    std::int64_t most = most_in_flight_;
    while (now_running > most && !most_in_flight_.compare_exchange_weak(most, now_running))
    {
    }
    over_slots_ += now_running > options_.slots ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(parse_number(received.query, "ms", options_.work_ms)));
    result.status = static_cast<int>(parse_number(received.query, "status", 200));
    result.headers.push_back(
        {"Plumspoke-Request", std::string(http::find_header(received.headers, "Plumspoke-Request"))});
    result.body = nlohmann::json({{"worker", options_.name},
                                  {"path", received.path},
                                  {"mark", http::find_header(received.headers, "X-Mark")},
                                  {"body", received.body}})
                      .dump();
    ++answered_;
    --in_flight_;
    return result;
}

void worker::run_tasks()
{
    time_point last = boot_clock::now();
    time_point next_report = last;
    while (!stopping_)
    {
        std::this_thread::sleep_for(tick);
        const time_point now = boot_clock::now();
        if (now >= lease_end_)
        {
            // The lease has expired: stop all running tasks before doing anything else.
            for (auto& [token, task] : tasks_)
            {
                if (!task.report.ended())
                {
                    end_task(task, plumspoke::worker::task_state::stopped, "lease ran out");
                }
            }
        }
        advance(std::chrono::duration_cast<milliseconds>(now - last).count());
        last = now;
        if (now >= next_report)
        {
            report();
            next_report = boot_clock::now() + milliseconds(200);
        }
    }
}

void worker::advance(std::int64_t elapsed_ms)
{
    for (auto& [token, task] : tasks_)
    {
        if (task.report.state != plumspoke::worker::task_state::running)
        {
            continue;
        }
        task.done_ms += elapsed_ms;
        if (task.done_ms >= task.run_ms)
        {
            task.report.result = task.fails ? "" : task.result;
            end_task(task,
                     task.fails ? plumspoke::worker::task_state::failed
                                : plumspoke::worker::task_state::finished,
                     task.fails ? "exit code 1" : "");
        }
    }
}

void worker::end_task(running_task& ended, plumspoke::worker::task_state state, const std::string& reason)
{
    ended.report.state = state;
    ended.report.reason = reason;
    write_journal("end " + ended.report.job + " " + std::to_string(ended.report.token) + " " +
                  nlohmann::json(state).get<std::string>());
}

void worker::report()
{
    plumspoke::worker::report sent;
    sent.worker = options_.name;
    sent.incarnation = incarnation_;
    sent.sequence = ++sequence_;
    sent.availability_zone = options_.availability_zone;
    sent.rack = options_.rack;
    sent.capacity = options_.capacity;
    for (const auto& [token, task] : tasks_)
    {
        sent.tasks.push_back(task.report);
    }
    http::request request;
    request.method = "POST";
    request.path = "/v1/workers/report";
    request.body = nlohmann::json(sent).dump();
    const time_point sent_at = boot_clock::now();
    const std::optional<http::response> reply =
        http::call(options_.control[control_position_ % options_.control.size()], request, call_limit);
    if (!reply.has_value() || reply->status != 200)
    {
        ++control_position_;
        return;
    }
    const auto orders = nlohmann::json::parse(reply->body).get<plumspoke::worker::orders>();
    // The lease counts from the time when the report was sent.
    const time_point lease_end = sent_at + milliseconds(orders.lease_ms);
    if (boot_clock::now() >= lease_end)
    {
        return; // the granted lease has already expired
    }
    lease_end_ = lease_end;
    apply_orders(orders);
}

void worker::apply_orders(const plumspoke::worker::orders& orders)
{
    for (const plumspoke::worker::settled_task& settled : orders.settled)
    {
        tasks_.erase(settled.token);
    }
    for (const plumspoke::worker::order& one : orders.tasks)
    {
        const auto found = tasks_.find(one.token);
        if (found == tasks_.end())
        {
            start_task(one);
            continue;
        }
        running_task& task = found->second;
        if (task.report.ended())
        {
            continue;
        }
        switch (one.order)
        {
        case control::task_order::run:
            task.report.state = plumspoke::worker::task_state::running;
            break;
        case control::task_order::throttle:
            task.report.state = plumspoke::worker::task_state::throttled;
            break;
        case control::task_order::checkpoint:
            task.report.checkpoint = "done_ms=" + std::to_string(task.done_ms);
            end_task(task, plumspoke::worker::task_state::stopped, "checkpointed");
            break;
        case control::task_order::stop:
            end_task(task, plumspoke::worker::task_state::stopped, "stopped");
            break;
        }
    }
}

void worker::start_task(const plumspoke::worker::order& granted)
{
    std::uint64_t& newest = newest_token_[granted.job];
    if (granted.token <= newest)
    {
        return; // stale grant: a newer token is known for this job
    }
    newest = granted.token;
    running_task task;
    task.report.job = granted.job;
    task.report.token = granted.token;
    task.run_ms = parse_number(granted.payload, "run_ms", 200);
    task.done_ms = parse_number(granted.checkpoint, "done_ms", 0);
    task.fails = parse_number(granted.payload, "fail", 0) != 0;
    task.result = "result of " + granted.job + " under token " + std::to_string(granted.token);
    if (granted.order == control::task_order::stop || granted.order == control::task_order::checkpoint)
    {
        task.report.state = plumspoke::worker::task_state::stopped; // stopped before it started
    }
    else
    {
        write_journal("start " + granted.job + " " + std::to_string(granted.token));
    }
    tasks_[granted.token] = task;
}

void worker::write_journal(const std::string& line) const
{
    if (options_.journal.empty())
    {
        return;
    }
    std::ofstream out(options_.journal, std::ios::app);
    out << options_.name + " " + line + "\n" << std::flush;
}

} // namespace plumspoke::stand_in
