#include "plumspoke/operator/client.hpp"

#include <chrono>
#include <thread>

namespace plumspoke::operators
{

namespace
{

constexpr int not_leader_status = 421;
constexpr int no_answer_status = 504;
constexpr auto retry_interval = milliseconds(100);

} // namespace

control_api_client::control_api_client(std::vector<std::string> addresses, milliseconds limit)
    : addresses_(std::move(addresses)), limit_(limit)
{
}

control_answer control_api_client::get(const std::string& path)
{
    http::request sent;
    sent.method = "GET";
    sent.path = path;
    return call(sent);
}

control_answer control_api_client::post(const std::string& path, const nlohmann::json& body)
{
    http::request sent;
    sent.method = "POST";
    sent.path = path;
    sent.body = body.dump();
    sent.headers.push_back({"Content-Type", "application/json"});
    return call(sent);
}

control_answer control_api_client::call(const http::request& sent)
{
    const time_point end = boot_clock::now() + limit_;
    control_answer last;
    std::size_t next_address = 0;
    std::string leader_address;
    while (!addresses_.empty() && boot_clock::now() < end)
    {
        const std::string address =
            leader_address.empty() ? addresses_[next_address++ % addresses_.size()] : leader_address;
        leader_address.clear();
        const std::optional<http::response> answer = http::call(address, sent, limit_);
        if (answer.has_value())
        {
            last.status = answer->status;
            last.body = nlohmann::json::parse(answer->body, nullptr, false);
            if (last.status != not_leader_status && last.status != no_answer_status)
            {
                return last;
            }
            if (last.body.is_object() && last.body.contains("detail") && last.body["detail"].is_object())
            {
                leader_address = last.body["detail"].value("http", "");
                leader_address = leader_address == address ? "" : leader_address;
            }
        }
        if (leader_address.empty())
        {
            std::this_thread::sleep_for(retry_interval);
        }
    }
    return last;
}

} // namespace plumspoke::operators
