#include "plumspoke/entry/server.hpp"

#include "plumspoke/error/invariant.hpp"
#include "plumspoke/logging/logging.hpp"
#include "plumspoke/settings/http_options.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <sstream>

namespace plumspoke::entry
{

namespace
{

constexpr const char* log_component = "entry";
constexpr auto lame_duck = milliseconds(500); // minimum time between readiness off and closing the listener
constexpr auto drain_poll = milliseconds(20);
constexpr auto quiet_period = milliseconds(75);
constexpr auto final_answers_timeout = milliseconds(500); // to requests that wait for a thread

table_options make_table_options(const settings::process_settings& settings)
{
    table_options options;
    options.guard.failures = static_cast<int>(settings.guard_failures);
    options.guard.open_for = milliseconds(settings.guard_open_ms);
    options.retry_percent = settings.retry_percent;
    options.retry_reserve = settings.retry_reserve;
    return options;
}

std::string new_incarnation()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

} // namespace

// ---- construction ------------------------------------------------------------------------------

server::server(const settings::process_settings& settings)
    : settings_(settings), incarnation_(new_incarnation()), control_(settings.control),
      platform_(settings.platform,
                milliseconds(settings.platform_poll_ms),
                [this](const vm_list::vm_list& list)
                {
                    set_leaving(list.leaving);
                })
{
}

server::~server()
{
    stop();
}

std::error_code server::start()
{
    http_ = std::make_unique<http::server>(settings::make_http_options(settings_, settings_.http),
                                           [this](const http::request& received)
                                           {
                                               return answer(received);
                                           });
    if (!http_->start())
    {
        return std::make_error_code(std::errc::address_in_use);
    }
    platform_.start();
    reporter_ = std::thread(
        [this]
        {
            run_reports();
        });
    PLUMSPOKE_LOG(INFO, log_component)
        << "Started as " << settings_.name << " in " << settings_.availability_zone << ".";
    return {};
}

void server::drain()
{
    draining_ = true;
    http_->begin_drain();
    const time_point began = boot_clock::now();
    const time_point latest = began + milliseconds(settings_.drain_ms);
    time_point idle_since = began;
    while (boot_clock::now() < latest)
    {
        std::this_thread::sleep_for(drain_poll);
        const time_point now = boot_clock::now();
        if (http_->in_flight() > 0 || http_->open_connections() > 0)
        {
            idle_since = now;
        }
        if (now > began + lame_duck && now > idle_since + lame_duck / 2)
        {
            break;
        }
    }
    const bool requests_remain = http_->in_flight() > 0;
    if (requests_remain)
    {
        PLUMSPOKE_LOG(ERROR, log_component) << "Requests are still in flight after " << settings_.drain_ms
                                            << " ms. Waiting for their deadlines.";
    }
    refusing_ = true;
    http_->refuse_queued();
    while (calls_ > 0) // they end at their deadlines
    {
        std::this_thread::sleep_for(drain_poll);
    }
    (void)http_->finish_drain(boot_clock::now() + final_answers_timeout, quiet_period);
    http_->stop();
    error::check_invariant(
        error::invariant::stop_cuts_nothing, http_->in_flight() == 0, "entry::server::drain");
}

void server::stop()
{
    if (stopping_.exchange(true) || http_ == nullptr)
    {
        return;
    }
    PLUMSPOKE_LOG(INFO, log_component) << "Stopping. Readiness is off.";
    drain();
    reporter_wake_.notify_all();
    if (reporter_.joinable())
    {
        reporter_.join();
    }
    platform_.stop();
    control::entry_report last;
    last.entry = settings_.name;
    last.incarnation = incarnation_;
    last.sequence = ++report_sequence_;
    last.version_in_force = version_;
    last.leaving = true;
    (void)control_.report(last, milliseconds(settings_.entry_report_ms));
    PLUMSPOKE_LOG(INFO, log_component) << "Stopped. All requests were completed.";
}

// ---- reports to control ------------------------------------------------------------------------

void server::run_reports()
{
    urcu_memb_register_thread();
    std::unique_lock lock(reporter_mutex_);
    // Keep renewing the lease while requests drain, since they are sent under it.
    while (!stopping_ || http_->in_flight() > 0 || http_->open_connections() > 0)
    {
        lock.unlock();
        report_once();
        lock.lock();
        reporter_wake_.wait_for(lock,
                                milliseconds(settings_.entry_report_ms),
                                [this]
                                {
                                    return stopping_.load();
                                });
        if (stopping_)
        {
            lock.unlock();
            std::this_thread::sleep_for(drain_poll);
            lock.lock();
        }
    }
    lock.unlock();
    urcu_memb_unregister_thread();
}

control::entry_report server::make_report()
{
    control::entry_report report;
    report.entry = settings_.name;
    report.incarnation = incarnation_;
    report.sequence = ++report_sequence_;
    report.version_in_force = version_;
    const rcu_read_section section;
    const route_table* table = table_.read(section);
    if (table == nullptr)
    {
        return report;
    }
    for (const auto& [worker, slots] : table->slots)
    {
        report.held.push_back({worker, slots->held()});
    }
    for (const auto& [name, route] : table->services)
    {
        const std::int64_t waiting = route.state->waiting.load(std::memory_order_relaxed);
        report.demand.push_back({name, route.state->in_flight.load(std::memory_order_relaxed) + waiting});
    }
    return report;
}

void server::release_abandoned_slots()
{
    const time_point now = boot_clock::now();
    std::size_t released = 0;
    {
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        if (table == nullptr)
        {
            return;
        }
        for (const auto& [worker, slots] : table->slots)
        {
            released += slots->release_expired(now);
        }
    }
    for (; released > 0; --released)
    {
        queue_.notify_one();
    }
}

void server::report_once()
{
    const time_point sent_at = boot_clock::now();
    const duration limit = milliseconds(settings_.entry_lease_ms) / 4;
    release_abandoned_slots();
    const std::optional<report_reply> reply = control_.report(make_report(), limit);
    if (!reply.has_value())
    {
        reports_unanswered_.add();
        return;
    }
    reports_answered_.add();
    take_orders(*reply, sent_at);
}

void server::take_orders(const report_reply& reply, time_point sent_at)
{
    error::check_invariant(error::invariant::configuration_never_reverts,
                           reply.version >= version_ || reply.version == 0,
                           "entry::server::take_orders");
    if (reply.version < version_)
    {
        return; // a reply with an older version is not from the current leader, so its lease is ignored
    }
    if (reply.version > version_ && !reply.configuration.empty())
    {
        const control::configuration config =
            nlohmann::json::parse(reply.configuration).get<control::configuration>();
        publish_table(config);
        PLUMSPOKE_LOG(INFO, log_component) << "Applied configuration version " << config.version
                                           << ", changed by " << config.changed_by << ".";
    }
    apply_grants(reply.granted);
    lease_end_us_ = to_microseconds(sent_at + reply.lease);
    queue_.notify_all();
}

void server::apply_grants(std::span<const control::slot_share> granted)
{
    const rcu_read_section section;
    const route_table* table = table_.read(section);
    if (table == nullptr)
    {
        return;
    }
    for (const auto& row : table->slots)
    {
        const auto found = std::find_if(granted.begin(),
                                        granted.end(),
                                        [&row](const control::slot_share& one)
                                        {
                                            return one.worker == row.first;
                                        });
        row.second->set_granted(found == granted.end() ? 0 : found->slots);
    }
    const time_point now = boot_clock::now();
    for (const auto& row : table->services)
    {
        for (const endpoint_pointer& one : row.second.endpoints)
        {
            one->trim_idle();
        }
        guards_tripped_slow_.add(exclude_slow_endpoints(row.second, now, settings_.guard_max_share_percent));
    }
}

void server::publish_table(const control::configuration& config)
{
    const std::lock_guard lock(writer_mutex_);
    std::unique_ptr<route_table> next;
    {
        const rcu_read_section section;
        next = make_table(
            config, table_.read(section), leaving_, boot_clock::now(), make_table_options(settings_));
    }
    config_ = config;
    table_.publish(std::move(next));
    version_ = config.version;
}

void server::set_leaving(const std::set<std::string>& leaving)
{
    const std::lock_guard lock(writer_mutex_);
    if (leaving == leaving_)
    {
        return;
    }
    leaving_ = leaving;
    const time_point now = boot_clock::now();
    urcu_memb_register_thread();
    {
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        if (table != nullptr)
        {
            for (const auto& [name, route] : table->services)
            {
                for (const endpoint_pointer& one : route.endpoints)
                {
                    one->set_listed_leaving(now, leaving_.contains(one->slots().worker()));
                }
            }
        }
    }
    urcu_memb_unregister_thread();
}

} // namespace plumspoke::entry
