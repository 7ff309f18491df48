#include "stand_in.hpp"

namespace plumspoke::stand_in
{

namespace
{

http::server_options make_options(std::string address)
{
    http::server_options options;
    options.address = std::move(address);
    options.threads = 16;
    return options;
}

} // namespace

platform::platform(std::string address, const std::vector<std::string>& vms)
    : http_(make_options(std::move(address)),
            [this](const http::request& received)
            {
                return answer(received);
            })
{
    for (const std::string& vm : vms)
    {
        leaving_[vm] = false;
    }
}

bool platform::start()
{
    return http_.start();
}

http::response platform::answer(const http::request& received)
{
    const std::lock_guard lock(mutex_);
    if (received.method == "POST")
    {
        leaving_[received.path.substr(1)] = true; // POST /w3 marks w3 as leaving
        ++version_;
    }
    nlohmann::json vms = nlohmann::json::array();
    for (const auto& [name, leaving] : leaving_)
    {
        vms.push_back({{"name", name}, {"state", leaving ? "leaving" : "live"}});
    }
    http::response result;
    result.content_type = "application/json";
    result.body = nlohmann::json({{"version", version_}, {"vms", vms}}).dump();
    return result;
}

} // namespace plumspoke::stand_in
