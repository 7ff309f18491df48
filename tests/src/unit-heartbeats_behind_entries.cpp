/// @file
/// @brief A leader keeps its lease although its entries take longer than the lease to arrive.
///
/// Guards against a leader that steps down under load: the acknowledgements of its followers are as old as
/// the entries that they wait for.

#include "plumspoke/replica/node.hpp"

#include <catch2/catch.hpp>
#include <deque>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

constexpr auto step = milliseconds(10);
constexpr auto link_delay = milliseconds(50);
constexpr std::int64_t bytes_per_ms = 200; // of each link
constexpr std::size_t command_bytes = 30'000;
constexpr auto command_interval = milliseconds(100); // more than the links carry

/// @brief Three voters; the messages from one to another queue for a slow link.
struct slow_links_fixture
{
    struct delivery
    {
        time_point at;
        message sent;
    };

    slow_links_fixture()
    {
        restored_state state;
        state.base.members = {{{"a", "a", "a", true}, {"b", "b", "b", true}, {"c", "c", "c", true}}};
        for (const char* id : {"a", "b", "c"})
        {
            nodes.emplace_back(id, node_options{}, state, now, id[0]);
        }
    }

    void send(const message& sent)
    {
        std::size_t bytes = 0;
        if (const auto* body = std::get_if<append>(&sent.body); body != nullptr)
        {
            for (const log_entry& entry : body->entries)
            {
                bytes += entry.data.size();
            }
        }
        time_point& free_at = link_free_at[{sent.from, sent.to}];
        free_at = std::max(free_at, now) + milliseconds(static_cast<std::int64_t>(bytes) / bytes_per_ms);
        in_transit.push_back({free_at + link_delay, sent});
    }

    void advance()
    {
        now += step;
        std::deque<delivery> later;
        for (delivery& one : std::exchange(in_transit, {}))
        {
            if (one.at > now)
            {
                later.push_back(std::move(one));
                continue;
            }
            for (node& to : nodes)
            {
                if (to.id() == one.sent.to)
                {
                    to.receive(now, one.sent);
                }
            }
        }
        in_transit = std::move(later);
        for (node& one : nodes)
        {
            one.tick(now);
            const node_output output = one.take_output();
            one.persisted(now);
            for (const message& sent : output.messages)
            {
                send(sent);
            }
        }
    }

    [[nodiscard]] node* leader()
    {
        for (node& one : nodes)
        {
            if (one.current_role() == role::leader)
            {
                return &one;
            }
        }
        return nullptr;
    }

    time_point now{seconds(3600)};
    std::vector<node> nodes;
    std::deque<delivery> in_transit;
    std::map<std::pair<member_id, member_id>, time_point> link_free_at;
};

} // namespace

TEST_CASE("a term survives entries that arrive more slowly than they are proposed")
{
    slow_links_fixture f;
    while (f.leader() == nullptr || !f.leader()->holds_lease(f.now))
    {
        f.advance();
    }
    const term_number term = f.leader()->term();
    const time_point end = f.now + seconds(5);
    time_point next_command = f.now;
    bool held = true;
    while (f.now < end && held)
    {
        if (f.now >= next_command)
        {
            next_command = f.now + command_interval;
            const std::vector<std::string> commands{std::string(command_bytes, 'x')};
            REQUIRE(f.leader()->propose(f.now, commands).has_value());
        }
        f.advance();
        held = f.leader() != nullptr && f.leader()->holds_lease(f.now);
    }
    INFO(std::chrono::duration_cast<milliseconds>(end - f.now).count() << " ms before the end");
    CHECK(held);
    REQUIRE(f.leader() != nullptr);
    CHECK(f.leader()->term() == term);
    CHECK(f.leader()->commit_index() > 10);
}
