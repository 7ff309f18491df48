#include "plumspoke/vm_list/poller.hpp"

#include "plumspoke/http/client.hpp"
#include "plumspoke/logging/logging.hpp"

namespace plumspoke::vm_list
{

namespace
{

constexpr auto response_timeout = milliseconds(1000);
constexpr const char* part = "platform";

} // namespace

poller::poller(std::string address, duration interval, listener on_list)
    : address_(std::move(address)), interval_(interval), on_list_(std::move(on_list))
{
}

poller::~poller()
{
    stop();
}

void poller::start()
{
    if (!address_.empty())
    {
        thread_ = std::thread(
            [this]
            {
                run();
            });
    }
}

void poller::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void poller::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        lock.unlock();
        poll_once();
        lock.lock();
        wake_.wait_for(lock,
                       interval_,
                       [this]
                       {
                           return stopping_;
                       });
    }
}

void poller::poll_once()
{
    http::request request;
    request.method = "GET";
    request.path = "/v1/vms";
    const std::optional<http::response> answer = http::call(address_, request, response_timeout);
    const std::error_code before = cache_.last_error();
    const bool usable = answer.has_value() && answer->status == 200;
    const std::error_code error = usable ? cache_.update(answer->body) : cache_.mark_unreachable();
    count(error);
    if (error != before)
    {
        PLUMSPOKE_LOG(INFO, part) << (error ? error.message() : std::string("the VM list is valid again"))
                                  << ".";
    }
    if (!error)
    {
        on_list_(cache_.current());
    }
}

void poller::count(std::error_code error)
{
    if (!error)
    {
        ++counts_.taken;
    }
    else if (error == errc::unreachable)
    {
        ++counts_.unreachable;
    }
    else if (error == errc::garbled)
    {
        ++counts_.garbled;
    }
    else if (error == errc::empty)
    {
        ++counts_.empty;
    }
    else
    {
        ++counts_.older;
    }
}

} // namespace plumspoke::vm_list
