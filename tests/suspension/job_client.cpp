#include "job_client.hpp"

#include <array>
#include <cstdio>
#include <thread>
#include <utility>

namespace plumspoke::test
{

namespace
{

constexpr const char* host = "h.example";
constexpr const char* job = R"({"spec":"x","steps":[{"count":1,"cpu":100,"mem-mb":10}]})";
constexpr auto timeout = milliseconds(3500); // longer than an entry takes for its answer
constexpr auto retry_pause = milliseconds(50);
constexpr int max_attempts = 6;

bool is_rejection(int status) noexcept
{
    return status == 404 || status == 429 || status == 503;
}

} // namespace

job_client::job_client(kept_connection entry, queue_paths queues, std::uint64_t number, std::uint64_t seed)
    : entry_(std::move(entry)), queues_(std::move(queues)), number_(number), random_(seed)
{
}

std::string job_client::make_id() const
{
    std::array<char, 17> text{};
    (void)std::snprintf(text.data(),
                        text.size(),
                        "%04llx%012llx",
                        static_cast<unsigned long long>(number_),
                        static_cast<unsigned long long>(submitted_));
    return text.data();
}

void job_client::run(const std::atomic<bool>& ended)
{
    while (!ended)
    {
        ++submitted_;
        submit(make_id(), ended);
        std::this_thread::sleep_for(milliseconds(random_() % 10));
    }
}

void job_client::submit(const std::string& id, const std::atomic<bool>& ended)
{
    bool all_rejected = true;
    for (int attempt = 0; attempt < max_attempts && (attempt == 0 || !ended); ++attempt)
    {
        const int status = entry_.call("POST", queues_.submitted_to + id, host, job, timeout).status;
        all_rejected = all_rejected && is_rejection(status);
        if (status == 200)
        {
            ++accepted_;
            if (random_() % 2 == 0)
            {
                (void)entry_.call("DELETE", queues_.submitted_to + id, host, "", timeout);
            }
        }
        if (status != 0 && status != 504)
        {
            break;
        }
        std::this_thread::sleep_for(retry_pause);
    }
    if (all_rejected)
    {
        rejected_.push_back(id);
    }
}

void job_client::check()
{
    for (const std::string& id : rejected_)
    {
        int status = 504;
        for (int attempt = 0; attempt < max_attempts && status != 200 && status != 410; ++attempt)
        {
            status = entry_.call("GET", queues_.read_from + id, host, "", timeout).status;
        }
        if (status != 410)
        {
            violations_.push_back("job " + id + ", whose submits were all rejected, was read with " +
                                  std::to_string(status));
        }
    }
}

} // namespace plumspoke::test
