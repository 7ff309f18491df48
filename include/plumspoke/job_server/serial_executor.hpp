#pragma once

/// @file
/// @brief Runs functions that need much memory one at a time.

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <future>
#include <type_traits>
#include <utility>

namespace plumspoke::job_server
{

/// @brief A thread that runs one function at a time while its callers wait.
/// @note Allocators keep freed memory for the thread that allocated it. If each thread of a server allocates
///       much now and then, the process keeps that much for each of them.
class serial_executor
{
  public:
    serial_executor() = default;
    serial_executor(const serial_executor&) = delete;
    serial_executor& operator=(const serial_executor&) = delete;
    ~serial_executor()
    {
        thread_.join();
    }

    /// @brief Runs a function and waits for its result.
    /// @return what the function returns; its exceptions are passed on
    template <typename Function> std::invoke_result_t<Function> run(Function function)
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(thread_, std::move(task));
        return result.get();
    }

  private:
    boost::asio::thread_pool thread_{1};
};

} // namespace plumspoke::job_server
