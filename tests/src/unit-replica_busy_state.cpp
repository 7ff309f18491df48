/// @file
/// @brief A replica keeps sending and receiving heartbeats while a reader locks its state.
///
/// Guards against a healthy leader that loses its leadership during a long decision, so that nothing is
/// started until the next leader is elected. The leader's loop decides while it holds the lock of the state.
/// If an entry commits meanwhile and the replica's thread waits for that lock without a timeout in order to
/// apply it, the thread neither sends heartbeats nor reads acknowledgements until it has the lock. With three
/// replicas and an election timeout of 700 ms, leadership was lost in 5 of 5 runs that locked the state for
/// 800 ms, and in 0 of 5 for 500 or 620 ms.

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

constexpr auto state_lock_duration = milliseconds(1200); // twice the election timeout
constexpr auto answer_timeout = seconds(5);

/// @brief In-process connections between three replicas; each replica can be disconnected.
class local_network
{
  public:
    void add(const std::string& address, driver& target)
    {
        const std::lock_guard lock(mutex_);
        targets_[address] = &target;
    }
    void set_disconnected(const std::string& address, bool disconnected)
    {
        const std::lock_guard lock(mutex_);
        disconnected ? (void)disconnected_.insert(address) : (void)disconnected_.erase(address);
    }
    void deliver(const std::string& from, const std::string& to, const message& sent)
    {
        const std::lock_guard lock(mutex_);
        const auto found = targets_.find(to);
        if (found != targets_.end() && !disconnected_.contains(from) && !disconnected_.contains(to))
        {
            found->second->receive(sent);
        }
    }

  private:
    std::mutex mutex_;
    std::map<std::string, driver*> targets_;
    std::set<std::string> disconnected_;
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

struct test_replica
{
    std::string name;
    jobs::job_state_machine machine;
    std::unique_ptr<storage> disk;
    std::unique_ptr<local_transport> sender;
    std::unique_ptr<driver> runner;
};

template <typename Condition> bool holds_within(duration limit, Condition condition)
{
    const auto end = boot_clock::now() + limit;
    while (boot_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

/// @brief Three replicas of the job state, one of which is the leader.
class test_cluster
{
  public:
    explicit test_cluster(driver_options options = {})
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-busy-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        const membership members{{{"a", "a", "a", true}, {"b", "b", "b", true}, {"c", "c", "c", true}}};
        for (std::size_t i = 0; i < replicas.size(); ++i)
        {
            test_replica& current = replicas[i];
            current.name = members.members[i].id;
            current.disk = std::make_unique<storage>(folder_ / current.name);
            REQUIRE_FALSE(current.disk->initialize(current.name, members));
            current.sender = std::make_unique<local_transport>(network, current.name);
            current.runner =
                std::make_unique<driver>(options, *current.disk, current.machine, *current.sender);
            REQUIRE_FALSE(current.runner->start(current.name));
            network.add(current.name, *current.runner);
        }
        REQUIRE(holds_within(seconds(10),
                             [this]
                             {
                                 return find_leader() != nullptr;
                             }));
    }
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;
    ~test_cluster()
    {
        for (test_replica& current : replicas)
        {
            current.runner->stop();
        }
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] test_replica* find_leader()
    {
        for (test_replica& current : replicas)
        {
            if (current.runner->holds_lease(boot_clock::now()))
            {
                return &current;
            }
        }
        return nullptr;
    }

    [[nodiscard]] test_replica& follower()
    {
        return find_leader() == replicas.data() ? replicas[1] : replicas[0];
    }

    local_network network;
    std::array<test_replica, 3> replicas;

  private:
    std::filesystem::path folder_;
};

std::string make_record()
{
    jobs::round record;
    record.begun = {"x"};
    return jobs::encode(record);
}

/// @brief Proposes a record; the future holds its result.
std::future<proposal_result> propose(driver& to)
{
    auto promise = std::make_shared<std::promise<proposal_result>>();
    to.propose(make_record(),
               [promise](proposal_result result)
               {
                   promise->set_value(std::move(result));
               });
    return promise->get_future();
}

bool is_answered(const std::future<proposal_result>& proposal)
{
    return proposal.wait_for(seconds(0)) == std::future_status::ready;
}

} // namespace

TEST_CASE("a leader whose state is locked for longer than its lease keeps its term while a record commits")
{
    test_cluster cluster;
    test_replica& leader = *cluster.find_leader();
    const term_number term = leader.runner->status().term;
    std::future<proposal_result> proposal;
    leader.machine.read(
        [&](const jobs::store&)
        {
            proposal = propose(*leader.runner);
            std::this_thread::sleep_for(state_lock_duration);
            CHECK(leader.runner->holds_lease(boot_clock::now()));
            CHECK(leader.runner->status().commit_index > leader.runner->status().applied_index);
            CHECK_FALSE(is_answered(proposal)); // committed, but not applied
        });
    REQUIRE(proposal.wait_for(answer_timeout) == std::future_status::ready);
    const proposal_result result = proposal.get();
    CHECK_FALSE(result.error);
    CHECK(jobs::decode_answer(result.answer).result == jobs::outcome::accepted);
    std::this_thread::sleep_for(
        milliseconds(300)); // two heartbeats: a loss of the term would be known by now
    CHECK(leader.runner->holds_lease(boot_clock::now()));
    CHECK(leader.runner->status().term == term);
    CHECK(leader.runner->status().last_leadership.term == 0);
}

TEST_CASE("proposals get the right result when leadership is lost between commit and apply")
{
    test_cluster cluster;
    test_replica& leader = *cluster.find_leader();
    std::future<proposal_result> committed;
    std::future<proposal_result> after_disconnect;
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
            cluster.network.set_disconnected(leader.name, true);
            after_disconnect = propose(*leader.runner);
            CHECK(holds_within(seconds(3),
                               [&]
                               {
                                   return !leader.runner->status().is_leader();
                               }));
            CHECK_FALSE(is_answered(committed));
        });
    REQUIRE(committed.wait_for(answer_timeout) == std::future_status::ready);
    REQUIRE(after_disconnect.wait_for(answer_timeout) == std::future_status::ready);
    CHECK_FALSE(committed.get().error);
    CHECK(after_disconnect.get().error == make_error_code(errc::lost_leadership));
}

TEST_CASE("a follower whose state is locked restores a snapshot and the entries after it in order")
{
    driver_options options;
    options.snapshot_interval = 10;
    test_cluster cluster(options);
    test_replica& leader = *cluster.find_leader();
    test_replica& lagging = cluster.follower();
    const auto record = [&leader]
    {
        REQUIRE_FALSE(leader.runner->propose_and_wait(make_record(), answer_timeout).error);
    };
    const auto apply_command = [&leader](const jobs::command& command)
    {
        const proposal_result result = leader.runner->propose_and_wait(jobs::encode(command), answer_timeout);
        REQUIRE_FALSE(result.error);
        REQUIRE(jobs::decode_answer(result.answer).result == jobs::outcome::accepted);
    };
    lagging.machine.read(
        [&](const jobs::store&)
        {
            // This command is still queued on the follower when a snapshot arrives whose state no longer has
            // the job. Applied after the snapshot, it would restore the job.
            jobs::submit submission;
            submission.id = "j";
            submission.spec.steps.resize(1);
            apply_command(submission);
            std::this_thread::sleep_for(milliseconds(300));
            cluster.network.set_disconnected(lagging.name, true);
            for (int i = 0; i < 25; ++i)
            {
                record();
            }
            apply_command(jobs::cancel{"j", 0});
            jobs::round removal;
            removal.forgotten = {"j"};
            apply_command(removal);
            REQUIRE(leader.machine.read(
                [](const jobs::store& state)
                {
                    return state.find("j") == nullptr;
                }));
            for (int i = 0; i < 15; ++i)
            {
                record();
            }
            cluster.network.set_disconnected(lagging.name, false);
            record();
            CHECK(holds_within(seconds(3),
                               [&]
                               {
                                   return lagging.runner->status().commit_index + 1 >=
                                          leader.runner->status().commit_index;
                               }));
            CHECK(lagging.runner->status().applied_index < leader.runner->status().applied_index);
        });
    record();
    CHECK(holds_within(seconds(3),
                       [&]
                       {
                           return lagging.runner->status().applied_index ==
                                  leader.runner->status().commit_index;
                       }));
    CHECK(lagging.machine.save() == leader.machine.save());
}

TEST_CASE("a replica whose state is locked stops, and fails unapplied proposals with errc::stopping")
{
    test_cluster cluster;
    test_replica& leader = *cluster.find_leader();
    std::future<proposal_result> proposal;
    std::future<void> stopped;
    leader.machine.read(
        [&](const jobs::store&)
        {
            const log_index before = leader.runner->status().commit_index;
            proposal = propose(*leader.runner);
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
    REQUIRE(proposal.wait_for(seconds(0)) == std::future_status::ready);
    CHECK(proposal.get().error == make_error_code(errc::stopping));
}
