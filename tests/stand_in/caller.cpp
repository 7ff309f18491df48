#include "plumspoke/endpoint/connection.hpp"
#include "stand_in.hpp"

#include <chrono>

namespace plumspoke::stand_in
{

namespace
{

constexpr auto request_limit = seconds(10);
constexpr std::size_t max_answer = 1U << 20U;

void count_answer(const endpoint::exchange_result& result, const std::string& mark, caller_counts& counts)
{
    if (result.error)
    {
        ++counts.incomplete;
        return;
    }
    const std::string_view outcome = http::find_header(result.answer.headers, "Plumspoke-Outcome");
    if (outcome == "done")
    {
        ++counts.done;
        const bool matches = result.answer.body.find("\"" + mark + "\"") != std::string::npos;
        counts.mismatched += matches ? 0U : 1U;
    }
    else if (outcome == "not-run")
    {
        ++counts.not_run;
    }
    else
    {
        ++counts.unknown;
    }
}

void run_client_thread(const caller_options& options, std::size_t number, caller_counts& counts)
{
    const time_point end = boot_clock::now() + milliseconds(options.run_ms);
    for (std::size_t sent = 0; boot_clock::now() < end; ++sent)
    {
        const std::string& entry = options.entries[(number + sent) % options.entries.size()];
        const time_point deadline = boot_clock::now() + request_limit;
        endpoint::connection connection;
        if (connection.connect(entry, deadline))
        {
            ++counts.not_connected;
            std::this_thread::sleep_for(milliseconds(5));
            continue;
        }
        const std::string mark = std::to_string(number) + "-" + std::to_string(sent);
        std::string request = std::string(options.unsafe_requests ? "POST " : "GET ") + options.path +
                              " HTTP/1.1\r\nHost: " + entry + "\r\nConnection: close\r\nX-Mark: " + mark +
                              "\r\n";
        if (options.unsafe_requests)
        {
            request += "Idempotency-Key: " + mark + "\r\nContent-Length: 2\r\n\r\nhi";
        }
        else
        {
            request += "\r\n";
        }
        count_answer(connection.exchange(request, deadline, max_answer), mark, counts);
    }
}

} // namespace

void run_caller(const caller_options& options, caller_counts& counts)
{
    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < options.threads; ++i)
    {
        threads.emplace_back(
            [&options, &counts, i]
            {
                run_client_thread(options, static_cast<std::size_t>(i), counts);
            });
    }
    for (std::thread& one : threads)
    {
        one.join();
    }
}

} // namespace plumspoke::stand_in
