/// @file
/// @brief A leader doesn't repeat entries to a member that doesn't answer, and the member catches up later.
///
/// Guards against a leader that loses its term after other disks were lost: while their successors learn the
/// state, entries for the lost disks go to the same addresses and use up the processor and the connections
/// that its heartbeats need.

#include "plumspoke/replica/node.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

constexpr auto step = milliseconds(10);
constexpr auto command_interval = milliseconds(100);
constexpr std::size_t max_silent_appends = 22; // in 3 s: one each 150 ms
constexpr std::size_t command_bytes = 100 << 10U;

/// @brief Three voters of which one may be disconnected; messages arrive with the next step.
struct silent_member_fixture
{
    silent_member_fixture()
    {
        restored_state state;
        state.base.members = {{{"a", "a", "a", true}, {"b", "b", "b", true}, {"c", "c", "c", true}}};
        for (const char* id : {"a", "b", "c"})
        {
            nodes.emplace_back(id, node_options{}, state, now, id[0]);
        }
    }

    [[nodiscard]] node* leader()
    {
        const auto found = std::find_if(nodes.begin(),
                                        nodes.end(),
                                        [](const node& one)
                                        {
                                            return one.current_role() == role::leader;
                                        });
        return found == nodes.end() ? nullptr : &*found;
    }

    [[nodiscard]] bool is_lost(const message& sent) const
    {
        return disconnected && (sent.from == silent || sent.to == silent);
    }

    void count(const message& sent)
    {
        if (const auto* body = std::get_if<append>(&sent.body); body != nullptr && sent.to == silent)
        {
            ++appends;
            bytes = std::accumulate(body->entries.begin(),
                                    body->entries.end(),
                                    bytes,
                                    [](std::size_t sum, const log_entry& entry)
                                    {
                                        return sum + entry.data.size();
                                    });
        }
    }

    void advance(duration time)
    {
        for (duration passed{}; passed < time; passed += step)
        {
            now += step;
            const std::vector<message> arrived = std::exchange(in_transit, {});
            for (node& one : nodes)
            {
                for (const message& sent : arrived)
                {
                    if (sent.to == one.id() && !is_lost(sent))
                    {
                        one.receive(now, sent);
                    }
                }
                const bool suspended = disconnected && one.id() == silent; // so that it doesn't campaign
                if (!suspended)
                {
                    one.tick(now);
                }
                node_output output = one.take_output();
                one.persisted(now);
                std::for_each(output.messages.begin(),
                              output.messages.end(),
                              [this](const message& sent)
                              {
                                  count(sent);
                              });
                std::move(output.messages.begin(), output.messages.end(), std::back_inserter(in_transit));
            }
        }
    }

    /// @brief Lets the leader append commands for some time.
    void load(duration time)
    {
        for (duration passed{}; passed < time; passed += command_interval)
        {
            const std::vector<std::string> commands{std::string(command_bytes, 'x')};
            REQUIRE(leader() != nullptr);
            REQUIRE(leader()->propose(now, commands).has_value());
            advance(command_interval);
        }
    }

    void elect()
    {
        while (leader() == nullptr)
        {
            advance(step);
        }
    }

    void check_catches_up()
    {
        disconnected = false;
        advance(seconds(2));
        REQUIRE(leader() != nullptr);
        const auto member = std::find_if(nodes.begin(),
                                         nodes.end(),
                                         [this](const node& one)
                                         {
                                             return one.id() == silent;
                                         });
        CHECK(member->last_index() == leader()->last_index());
        CHECK(member->commit_index() == leader()->commit_index());
    }

    time_point now{seconds(3600)};
    std::vector<node> nodes;
    std::vector<message> in_transit;
    member_id silent = "c";
    bool disconnected = false;
    std::size_t appends = 0; // to the silent member
    std::size_t bytes = 0;   // of the entries in them
};

} // namespace

TEST_CASE("a member that never answers a leader gets heartbeats without the entries of the term")
{
    silent_member_fixture f;
    f.disconnected = true;
    f.elect();
    f.load(seconds(3));
    CHECK(f.appends >= 10);                 // heartbeats go on
    CHECK(f.appends <= max_silent_appends); // and proposals cause no others
    CHECK(f.bytes <= node_options{}.max_bytes_per_append + command_bytes);
    f.check_catches_up();
}

TEST_CASE("a member that stops answering gets no entries after an election timeout")
{
    silent_member_fixture f;
    f.elect();
    f.load(seconds(1));
    if (f.leader()->id() == f.silent)
    {
        f.silent = member_id("b");
    }
    f.disconnected = true;
    f.load(milliseconds(700));
    f.bytes = 0;
    f.appends = 0;
    f.load(seconds(3));
    CHECK(f.appends >= 10);
    CHECK(f.appends <= max_silent_appends);
    CHECK(f.bytes == 0);
    f.check_catches_up();
}
