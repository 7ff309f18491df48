/// @file
/// @brief A replica whose state is held by a reader: does its thread go on sending and hearing heartbeats?
///
/// Symptom: a leader that is well loses its term in the middle of a long decision, and starts stop until the
/// next leader is in place.
///
/// Sequence: the leader's loop decides while it reads the state under its lock. A record commits meanwhile.
/// The replica's thread applies it, waits for the same lock, and until it has it neither sends a heartbeat
/// nor reads an acknowledgement. Then the next tick finds that no quorum has answered for an election
/// timeout, or a follower has stood for election.
///
/// Cause: the thread that keeps the lease waits without a limit behind whoever reads the state. A record that
/// is committed may be applied late, but a heartbeat can't be sent late.
///
/// What settled it, with three replicas and an election timeout of 700 ms, a record committing while the
/// state is held: held for 500 or 620 ms, 0 of 5 terms ended; for 800 ms, 5 of 5.

#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/jobs/job_state_machine.hpp"
#include "plumspoke/replica/driver.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <thread>
#include <unistd.h>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

constexpr auto held_for = milliseconds(1200); // twice the election timeout
constexpr auto answer_limit = seconds(5);

/// @brief Three replicas' connections within this process; each replica may be cut off.
class local_network
{
  public:
    void add(const std::string& address, driver& target)
    {
        const std::lock_guard lock(mutex_);
        targets_[address] = &target;
    }
    void cut(const std::string& address, bool off)
    {
        const std::lock_guard lock(mutex_);
        off ? (void)cut_.insert(address) : (void)cut_.erase(address);
    }
    void deliver(const std::string& from, const std::string& to, const message& sent)
    {
        const std::lock_guard lock(mutex_);
        const auto found = targets_.find(to);
        if (found != targets_.end() && !cut_.contains(from) && !cut_.contains(to))
        {
            found->second->receive(sent);
        }
    }

  private:
    std::mutex mutex_;
    std::map<std::string, driver*> targets_;
    std::set<std::string> cut_;
};

class local_transport final : public transport
{
  public:
    local_transport(local_network& network, std::string own) : network_(network), own_(std::move(own))
    {
    }
    void send(const std::string& address, const message& sent) override
    {
        network_.deliver(own_, address, sent);
    }

  private:
    local_network& network_;
    std::string own_;
};

struct one_replica
{
    std::string name;
    jobs::job_state_machine machine;
    std::unique_ptr<storage> disk;
    std::unique_ptr<local_transport> sender;
    std::unique_ptr<driver> runner;
};

template <typename Condition> bool holds_within(duration limit, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

/// @brief Three replicas of the jobs' state, one of which leads.
class group
{
  public:
    explicit group(driver_options options = {})
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-busy-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        const membership members{{{"a", "a", "a", true}, {"b", "b", "b", true}, {"c", "c", "c", true}}};
        for (std::size_t i = 0; i < replicas.size(); ++i)
        {
            one_replica& one = replicas[i];
            one.name = members.members[i].id;
            one.disk = std::make_unique<storage>(folder_ / one.name);
            REQUIRE_FALSE(one.disk->initialize(one.name, members));
            one.sender = std::make_unique<local_transport>(network, one.name);
            one.runner = std::make_unique<driver>(options, *one.disk, one.machine, *one.sender);
            REQUIRE_FALSE(one.runner->start(one.name));
            network.add(one.name, *one.runner);
        }
        REQUIRE(holds_within(seconds(10),
                             [this]
                             {
                                 return find_leader() != nullptr;
                             }));
    }
    group(const group&) = delete;
    group& operator=(const group&) = delete;
    ~group()
    {
        for (one_replica& one : replicas)
        {
            one.runner->stop();
        }
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] one_replica* find_leader()
    {
        for (one_replica& one : replicas)
        {
            if (one.runner->may_act(std::chrono::steady_clock::now()))
            {
                return &one;
            }
        }
        return nullptr;
    }

    [[nodiscard]] one_replica& follower()
    {
        return find_leader() == replicas.data() ? replicas[1] : replicas[0];
    }

    local_network network;
    std::array<one_replica, 3> replicas;

  private:
    std::filesystem::path folder_;
};

std::string a_record()
{
    jobs::round record;
    record.begun = {"x"};
    return jobs::encode(record);
}

/// @brief A proposal that was made, and its answer when it comes.
std::future<proposal_result> propose(driver& to)
{
    auto promise = std::make_shared<std::promise<proposal_result>>();
    to.propose(a_record(),
               [promise](proposal_result result)
               {
                   promise->set_value(std::move(result));
               });
    return promise->get_future();
}

bool is_answered(const std::future<proposal_result>& made)
{
    return made.wait_for(seconds(0)) == std::future_status::ready;
}

} // namespace

TEST_CASE("a leader whose state is held for longer than its lease keeps its term while a record commits")
{
    group three;
    one_replica& leader = *three.find_leader();
    const term_number term = leader.runner->status().term;
    std::future<proposal_result> made;
    leader.machine.read(
        [&](const jobs::store&)
        {
            made = propose(*leader.runner);
            std::this_thread::sleep_for(held_for);
            CHECK(leader.runner->may_act(std::chrono::steady_clock::now()));
            CHECK(leader.runner->status().commit_index > leader.runner->status().applied_index);
            CHECK_FALSE(is_answered(made)); // committed, but not applied
        });
    REQUIRE(made.wait_for(answer_limit) == std::future_status::ready);
    const proposal_result result = made.get();
    CHECK_FALSE(result.error);
    CHECK(jobs::decode_answer(result.answer).result == jobs::outcome::accepted);
    std::this_thread::sleep_for(
        milliseconds(300)); // two heartbeats: a loss of the term would be known by now
    CHECK(leader.runner->may_act(std::chrono::steady_clock::now()));
    CHECK(leader.runner->status().term == term);
    CHECK(leader.runner->status().last_ended.term == 0);
}

TEST_CASE("a leadership lost between commit and apply: each record's answer is true")
{
    group three;
    one_replica& leader = *three.find_leader();
    std::future<proposal_result> committed;
    std::future<proposal_result> cut_off;
    leader.machine.read(
        [&](const jobs::store&)
        {
            const log_index before = leader.runner->status().commit_index;
            committed = propose(*leader.runner);
            CHECK(holds_within(seconds(1),
                               [&]
                               {
                                   return leader.runner->status().commit_index > before;
                               }));
            three.network.cut(leader.name, true);
            cut_off = propose(*leader.runner);
            CHECK(holds_within(seconds(3),
                               [&]
                               {
                                   return !leader.runner->status().is_leader();
                               }));
            CHECK_FALSE(is_answered(committed));
        });
    REQUIRE(committed.wait_for(answer_limit) == std::future_status::ready);
    REQUIRE(cut_off.wait_for(answer_limit) == std::future_status::ready);
    CHECK_FALSE(committed.get().error);
    CHECK(cut_off.get().error == make_error_code(errc::lost_leadership));
}

TEST_CASE("a follower whose state is held takes a snapshot and what follows it in order")
{
    driver_options options;
    options.snapshot_interval = 10;
    group three(options);
    one_replica& leader = *three.find_leader();
    one_replica& behind = three.follower();
    const auto record = [&leader]
    {
        REQUIRE_FALSE(leader.runner->propose_and_wait(a_record(), answer_limit).error);
    };
    const auto decide = [&leader](const jobs::command& what)
    {
        const proposal_result result = leader.runner->propose_and_wait(jobs::encode(what), answer_limit);
        REQUIRE_FALSE(result.error);
        REQUIRE(jobs::decode_answer(result.answer).result == jobs::outcome::accepted);
    };
    behind.machine.read(
        [&](const jobs::store&)
        {
            // Waits on the follower when the snapshot comes, which holds a state that has forgotten the job:
            // applied after it, it would bring the job back.
            jobs::submit taken_in;
            taken_in.id = "j";
            taken_in.spec.steps.resize(1);
            decide(taken_in);
            std::this_thread::sleep_for(milliseconds(300));
            three.network.cut(behind.name, true);
            for (int i = 0; i < 25; ++i)
            {
                record();
            }
            decide(jobs::cancel{"j", 0});
            jobs::round forgets;
            forgets.forgotten = {"j"};
            decide(forgets);
            REQUIRE(leader.machine.read(
                [](const jobs::store& state)
                {
                    return state.find("j") == nullptr;
                }));
            for (int i = 0; i < 15; ++i)
            {
                record();
            }
            three.network.cut(behind.name, false);
            record();
            CHECK(holds_within(seconds(3),
                               [&]
                               {
                                   return behind.runner->status().commit_index + 1 >=
                                          leader.runner->status().commit_index;
                               }));
            CHECK(behind.runner->status().applied_index < leader.runner->status().applied_index);
        });
    record();
    CHECK(holds_within(seconds(3),
                       [&]
                       {
                           return behind.runner->status().applied_index ==
                                  leader.runner->status().commit_index;
                       }));
    CHECK(behind.machine.save() == leader.machine.save());
}

TEST_CASE("a replica whose state is held stops, and says of what it hasn't applied that it stopped")
{
    group three;
    one_replica& leader = *three.find_leader();
    std::future<proposal_result> made;
    std::future<void> stopped;
    leader.machine.read(
        [&](const jobs::store&)
        {
            const log_index before = leader.runner->status().commit_index;
            made = propose(*leader.runner);
            CHECK(holds_within(seconds(1),
                               [&]
                               {
                                   return leader.runner->status().commit_index > before;
                               }));
            stopped = std::async(std::launch::async,
                                 [&]
                                 {
                                     leader.runner->stop();
                                 });
            CHECK(stopped.wait_for(seconds(1)) == std::future_status::ready);
        });
    stopped.get();
    REQUIRE(made.wait_for(seconds(0)) == std::future_status::ready);
    CHECK(made.get().error == make_error_code(errc::stopping));
}
