/// @file
/// @brief Orders on a zone that are delayed between any two of their steps.
///
/// Guards against an acknowledged evacuation that an outdated order takes back: a control VM carried out an
/// order whose operator had gone on to another control VM and had sent later orders there.

#include "plumspoke/job_server/zone_orders.hpp"

#include "plumspoke/jobs/store.hpp"
#include "plumspoke/time/time.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

using namespace plumspoke;
using job_server::order_end;
using job_server::zone_orders;
using job_server::zone_version;

namespace
{

constexpr const char* zone = "zone";

// ---- simulation --------------------------------------------------------------------------------

/// @brief What a control VM checks before an order is committed.
struct order_checks
{
    bool operator_waits = true;
    bool version = true;
};

/// @brief An operator, the leaders, and control VMs that stall for seconds between the steps of an order, in
///        virtual time. While one stalls, the operator goes on at other control VMs.
class order_simulation
{
  public:
    order_simulation(std::uint64_t seed, order_checks checks) : random_(seed), checks_(checks)
    {
    }

    /// @return the number of orders after which the zone was not in the state acknowledged last
    [[nodiscard]] int run(int orders)
    {
        int violations = 0;
        bool evacuated = true;
        for (int i = 0; i < orders; ++i)
        {
            send_until_acknowledged(evacuated, 0);
            violations += is_evacuated() == acknowledged_ ? 0 : 1;
            evacuated = random_() % 3 == 0 ? acknowledged_ : !acknowledged_; // some repeat the last order
        }
        return violations;
    }

  private:
    struct sent_order
    {
        bool evacuated;
        time_point sent_at;
        bool is_awaited = true;
    };

    static constexpr auto operator_patience = seconds(1);
    static constexpr int max_depth = 4; // of control VMs that stall at the same time

    [[nodiscard]] bool is_evacuated() const
    {
        return state_.evacuated_zones().contains(zone);
    }

    void send_until_acknowledged(bool evacuated, int depth)
    {
        bool is_acknowledged = false;
        while (!is_acknowledged)
        {
            sent_order order{evacuated, now_};
            const order_end end = carry_out(order, depth);
            if (!order.is_awaited)
            {
                return; // acknowledged elsewhere meanwhile
            }
            is_acknowledged = end == order_end::durable;
        }
        acknowledged_ = evacuated;
    }

    [[nodiscard]] order_end carry_out(sent_order& order, int depth)
    {
        stall(order, depth); // in a socket
        return job_server::carry_out_order(
            [&]
            {
                const zone_version read = orders_->read(term_, zone);
                stall(order, depth);
                return std::optional(read);
            },
            [&]
            {
                const bool awaited = order.is_awaited || !checks_.operator_waits;
                stall(order, depth);
                return awaited;
            },
            [&](const zone_version& expected)
            {
                return commit(order, expected);
            });
    }

    [[nodiscard]] order_end commit(const sent_order& order, const zone_version& expected)
    {
        order_end end = order_end::conflict;
        const bool proposed =
            orders_->propose_if_unchanged(zone,
                                          checks_.version ? std::optional(expected) : std::nullopt,
                                          [&]
                                          {
                                              if (checks_.version && expected.term != term_)
                                              {
                                                  end = order_end::not_executed; // rejected by the log
                                                  return;
                                              }
                                              (void)state_.apply(jobs::set_evacuation{zone, order.evacuated});
                                              end = order_end::durable;
                                          });
        return proposed ? end : order_end::conflict;
    }

    void stall(sent_order& order, int depth)
    {
        const bool is_long = random_() % 8 == 0;
        const auto length = milliseconds(random_() % (is_long ? 6000 : 20));
        const time_point end = now_ + length;
        if (order.is_awaited && end > order.sent_at + operator_patience && depth < max_depth)
        {
            order.is_awaited = false;
            now_ = std::max(now_, order.sent_at + operator_patience);
            send_until_acknowledged(order.evacuated, depth + 1);
            while (now_ < end && random_() % 4 != 0)
            {
                send_until_acknowledged(random_() % 2 == 0, depth + 1);
            }
        }
        if (random_() % 16 == 0)
        {
            ++term_;
            orders_ = std::make_unique<zone_orders>(); // of another process
        }
        now_ = std::max(now_, end);
    }

    std::mt19937_64 random_;
    order_checks checks_;
    time_point now_{};
    jobs::store state_;
    std::unique_ptr<zone_orders> orders_ = std::make_unique<zone_orders>();
    replica::term_number term_ = 1;
    bool acknowledged_ = false;
};

int count_violations(order_checks checks)
{
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
    {
        violations += order_simulation(seed, checks).run(40);
    }
    return violations;
}

} // namespace

TEST_CASE("an outdated order does not replace a later one, however late its steps are")
{
    CHECK(count_violations({true, true}) == 0);
}

TEST_CASE("the simulation finds outdated orders if either check is left out")
{
    CHECK(count_violations({false, false}) > 0);
    CHECK(count_violations({true, false}) > 0);
    CHECK(count_violations({false, true}) > 0);
}

// ---- versions ----------------------------------------------------------------------------------

TEST_CASE("each order raises the version of its zone only")
{
    zone_orders orders;
    const zone_version first = orders.read(3, zone);
    const zone_version other = orders.read(3, "other");
    int proposed = 0;
    const auto propose = [&proposed]
    {
        ++proposed;
    };
    CHECK(orders.propose_if_unchanged(zone, first, propose));
    CHECK_FALSE(orders.propose_if_unchanged(zone, first, propose));
    CHECK(orders.propose_if_unchanged(zone, orders.read(3, zone), propose));
    CHECK(orders.read(3, "other") == other);
    CHECK(proposed == 2);
}

TEST_CASE("an order without a condition raises the version too")
{
    zone_orders orders;
    const zone_version read = orders.read(3, zone);
    CHECK(orders.propose_if_unchanged(zone, std::nullopt, [] {}));
    CHECK_FALSE(orders.propose_if_unchanged(zone, read, [] {}));
}
