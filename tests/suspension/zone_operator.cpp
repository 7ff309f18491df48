#include "zone_operator.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace plumspoke::test
{

namespace
{

constexpr const char* host = "h.example";
constexpr const char* path = "/evacuate/y";
constexpr auto order_timeout = milliseconds(1000); // then operators try another control VM
constexpr auto check_limit = milliseconds(4000);   // outlasts an election
constexpr auto metrics_timeout = milliseconds(200);
constexpr milliseconds short_pause(300);
constexpr milliseconds long_pause(6000); // outlasts suspensions
constexpr std::size_t max_left_open = 32;

} // namespace

zone_operator::zone_operator(std::vector<std::string> ips, control_ports ports, std::uint64_t seed)
    : ips_(std::move(ips)), ports_(ports), random_(seed)
{
    for (const std::string& ip : ips_)
    {
        connections_.emplace_back(ip, ports_.operators);
    }
}

void zone_operator::run(const std::atomic<bool>& ended)
{
    while (!ended)
    {
        const bool wanted = random_() % 5 == 0 ? evacuated_ : !evacuated_;
        int status = 0;
        while (status != 200 && !ended)
        {
            status = order(wanted);
            if (status >= 400 && status < 500)
            {
                violations_.push_back("an order on a zone was refused with " + std::to_string(status));
            }
            if (status != 200)
            {
                pause(short_pause, ended);
            }
        }
        if (status != 200)
        {
            uncertain_ = true;
            return;
        }
        ++acknowledged_;
        evacuated_ = wanted;
        const bool waits = random_() % 8 == 0;
        pause(waits ? long_pause : short_pause, ended);
        if (waits)
        {
            check();
        }
    }
}

int zone_operator::order(bool evacuated)
{
    const std::size_t vm = random_() % ips_.size();
    kept_connection& to = connections_[vm];
    const time_point sent_at = boot_clock::now();
    const int status =
        to.send(evacuated ? "POST" : "DELETE", path, host, "") && to.wait_readable(order_timeout)
            ? to.receive(order_timeout).status
            : 0;
    if (status == 0 && boot_clock::now() >= sent_at + order_timeout)
    {
        ++given_up_;
        if (random_() % 2 == 0)
        {
            left_open_.push_back(std::move(to));
        }
        to = kept_connection(ips_[vm], ports_.operators);
        if (left_open_.size() > max_left_open)
        {
            left_open_.erase(left_open_.begin());
        }
    }
    return status;
}

void zone_operator::check()
{
    if (uncertain_)
    {
        return;
    }
    ++checks_;
    if (!is_as_acknowledged())
    {
        violations_.push_back(std::string("the zone is ") + (evacuated_ ? "not " : "") +
                              "evacuated, which was not acknowledged last");
    }
}

/// @return true as well if no leader was seen
bool zone_operator::is_as_acknowledged() const
{
    const std::string expected =
        std::string("\nplumspoke_evacuated_zones ") + (evacuated_ ? "1" : "0") + "\n";
    bool any_leader = false;
    for (const time_point end = boot_clock::now() + check_limit; boot_clock::now() < end;)
    {
        for (const std::string& ip : ips_)
        {
            kept_connection from(ip, ports_.metrics);
            const std::string body = from.call("GET", "/metrics", host, "", metrics_timeout).body;
            const bool leads = body.find("\nplumspoke_leading 1\n") != std::string::npos;
            any_leader = any_leader || leads;
            if (leads && body.find(expected) != std::string::npos)
            {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return !any_leader;
}

void zone_operator::pause(milliseconds longest, const std::atomic<bool>& ended)
{
    const auto length = milliseconds(random_() % static_cast<std::uint64_t>(longest.count()));
    for (const time_point end = boot_clock::now() + length; !ended && boot_clock::now() < end;)
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

std::string zone_operator::summary() const
{
    return std::to_string(acknowledged_) + " orders on a zone acknowledged, " + std::to_string(given_up_) +
           " given up, " + std::to_string(checks_) + " checks";
}

} // namespace plumspoke::test
