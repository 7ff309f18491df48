#pragma once

/// @file
/// @brief The entry server: serves callers over HTTP, calls endpoints and reports to control.

#include "plumspoke/entry/control_client.hpp"
#include "plumspoke/entry/rcu.hpp"
#include "plumspoke/entry/request_flow.hpp"
#include "plumspoke/entry/route_table.hpp"
#include "plumspoke/entry/slot_queue.hpp"
#include "plumspoke/http/server.hpp"
#include "plumspoke/vm_list/poller.hpp"

namespace plumspoke::entry
{

/// @brief State of one request while it is handled.
struct call_context;

/// @brief One entry process.
class server
{
  public:
    /// @name construction
    /// @{
    explicit server(const settings::process_settings& settings);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    [[nodiscard]] std::error_code start();

    /// @brief Graceful stop: turns readiness off, completes requests in flight and returns all slots to
    /// control.
    void stop();
    /// @}

    /// @brief Answers one request of a caller.
    [[nodiscard]] http::response answer(const http::request& received);

  private:
    // ---- request handling
    [[nodiscard]] http::response answer_call(const http::request& received, std::string_view service);
    [[nodiscard]] http::response process_call(call_context& call);
    [[nodiscard]] http::response process_claimed_call(call_context& call);
    [[nodiscard]] endpoint_pointer acquire_slot(call_context& call,
                                                std::optional<admission_refusal>& refused);
    [[nodiscard]] endpoint_pointer try_acquire_slot(const call_context& call);
    [[nodiscard]] http::response attempt_loop(call_context& call);
    [[nodiscard]] endpoint::exchange_result attempt(call_context& call, endpoint_state& target);
    void record_attempt(const call_context& call,
                        endpoint_state& target,
                        const attempt_result& end,
                        duration took);
    [[nodiscard]] http::response
    refuse(call_context& call, refusal reason, outcome reported, duration retry_after);
    [[nodiscard]] http::response finish(call_context& call, http::response answer, outcome reported);
    [[nodiscard]] bool serving(time_point now) const noexcept;

    // ---- reports to control
    void run_reports();
    void report_once();
    void release_abandoned_slots();
    void take_orders(const report_reply& reply, time_point sent_at);
    void apply_grants(std::span<const control::slot_share> granted);
    void publish_table(const control::configuration& config);
    void set_leaving(const std::set<std::string>& leaving);
    [[nodiscard]] control::entry_report make_report();
    void drain();

    // ---- administration pages
    [[nodiscard]] http::response admin_page(const http::request& received);
    [[nodiscard]] std::string metrics_text();

    settings::process_settings settings_;
    std::string incarnation_;
    control_client control_;
    std::unique_ptr<http::server> http_;
    vm_list::poller platform_;

    rcu_pointer<route_table> table_;
    slot_queue queue_;
    std::atomic<std::int64_t> lease_end_us_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> refusing_{false};  // the drain has lasted for too long
    std::atomic<std::int64_t> calls_{0}; // requests that were read whole, and are not refused
    std::atomic<std::uint64_t> next_request_{1};
    std::atomic<std::uint64_t> version_{0};

    std::mutex writer_mutex_; // serializes changes of the route table
    control::configuration config_;
    std::set<std::string> leaving_;
    std::uint64_t report_sequence_ = 0;

    std::array<metrics::counter, refusal_count> refusals_; // of requests for no known service
    metrics::counter reports_answered_;
    metrics::counter reports_unanswered_;
    metrics::counter guards_tripped_slow_;

    std::atomic<bool> stopping_{false};
    std::mutex reporter_mutex_;
    std::condition_variable reporter_wake_;
    std::thread reporter_;
};

} // namespace plumspoke::entry
