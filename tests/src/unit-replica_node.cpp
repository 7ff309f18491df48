#include "plumspoke/replica/codec.hpp"
#include "plumspoke/replica/driver.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace plumspoke;
using namespace plumspoke::replica;

const time_point start = from_microseconds(3'600'000'000);

membership three_voters()
{
    return {{{"a", "a", "a", true}, {"b", "b", "b", true}, {"c", "c", "c", true}}};
}

restored_state empty_state()
{
    restored_state state;
    state.base.members = three_voters();
    return state;
}

message from(const std::string& sender, term_number term, message_body body)
{
    return {sender, "a", term, std::move(body)};
}

template <typename Body> const Body* find_sent(const node_output& output, const std::string& to)
{
    for (const message& current : output.messages)
    {
        if (current.to == to && std::holds_alternative<Body>(current.body))
        {
            return &std::get<Body>(current.body);
        }
    }
    return nullptr;
}

/// @brief Makes node a the leader by answering its vote requests as node b.
/// @return the time of its election
time_point elect(node& node_a)
{
    time_point now = start;
    while (node_a.current_role() != role::leader)
    {
        now += milliseconds(10);
        node_a.tick(now);
        const node_output output = node_a.take_output();
        node_a.persisted(now);
        if (find_sent<pre_vote>(output, "b") != nullptr)
        {
            node_a.receive(now, from("b", node_a.term() + 1, pre_vote_reply{true}));
        }
        if (find_sent<vote>(output, "b") != nullptr)
        {
            node_a.receive(now, from("b", node_a.term(), vote_reply{true}));
        }
        const node_output second = node_a.take_output();
        node_a.persisted(now);
        if (find_sent<vote>(second, "b") != nullptr)
        {
            node_a.receive(now, from("b", node_a.term(), vote_reply{true}));
        }
    }
    (void)node_a.take_output();
    node_a.persisted(now);
    return now;
}

append_reply acknowledge(const node& node_a, time_point sent)
{
    return {true, node_a.last_index(), to_microseconds(sent)};
}

} // namespace

TEST_CASE("a replica that has just started")
{
    node node_a("a", {}, empty_state(), start, 1);

    SECTION("withholds its vote for an election timeout, since the last leader contact is unknown")
    {
        node_a.receive(start + milliseconds(100), from("b", 5, vote{10, 4}));
        CHECK(find_sent<vote_reply>(node_a.take_output(), "b") == nullptr);
        node_a.tick(start + milliseconds(250));
        node_a.tick(start + milliseconds(500));
        node_a.receive(start + milliseconds(620), from("b", 5, vote{10, 4}));
        const node_output output = node_a.take_output();
        REQUIRE(find_sent<vote_reply>(output, "b") != nullptr);
        CHECK(find_sent<vote_reply>(output, "b")->granted);
        REQUIRE(output.hard.has_value()); // the vote is synced before it is sent
        CHECK(output.hard->voted_for == "b");
    }

    SECTION("ignores messages for an earlier disk at its address")
    {
        message meant_for_other{"b", "a.old", 9, vote{10, 4}};
        node_a.receive(start + seconds(2), meant_for_other);
        CHECK(node_a.term() == 0);
    }

    SECTION("does not start an election while it is a learner")
    {
        restored_state learner;
        learner.base.members = {{{"b", "b", "b", true}, {"x", "x", "x", false}}};
        node other("x", {}, learner, start, 1);
        for (int i = 0; i < 1000; ++i)
        {
            other.tick(start + milliseconds(10 * i));
        }
        CHECK(other.current_role() == role::follower);
        CHECK(other.term() == 0);
    }
}

TEST_CASE("a replica withholds its vote after a pause, as after a restart")
{
    // A clock jump must not make a follower vote while the previous leader still holds its lease.
    node node_a("a", {}, empty_state(), start, 1);
    node_a.receive(start + milliseconds(10), from("b", 1, append{0, 0, 0, 1, {}}));
    node_a.receive(start + seconds(3), from("c", 2, vote{10, 4}));
    CHECK(find_sent<vote_reply>(node_a.take_output(), "c") == nullptr);
}

TEST_CASE("a leader")
{
    node node_a("a", {}, empty_state(), start, 1);
    const time_point elected = elect(node_a);

    SECTION("holds no lease before an entry of its own term is committed")
    {
        CHECK_FALSE(node_a.holds_lease(elected));
        node_a.receive(elected + milliseconds(1), from("b", node_a.term(), acknowledge(node_a, elected)));
        CHECK(node_a.commit_index() == 1);
        CHECK(node_a.holds_lease(elected + milliseconds(1)));
    }

    SECTION(
        "holds its lease from when the acknowledged message was sent, not from when the reply was received")
    {
        node_a.receive(elected + milliseconds(400), from("b", node_a.term(), acknowledge(node_a, elected)));
        CHECK(node_a.holds_lease(elected + milliseconds(470)));
        CHECK_FALSE(node_a.holds_lease(elected + milliseconds(481)));
    }

    SECTION("steps down when no quorum acknowledges")
    {
        node_a.receive(elected + milliseconds(1), from("b", node_a.term(), acknowledge(node_a, elected)));
        node_a.tick(elected + milliseconds(1300));
        CHECK(node_a.current_role() == role::follower);
    }

    SECTION("does not commit entries that only the leader has synced")
    {
        const std::vector<std::string> commands = {"x"};
        (void)node_a.propose(elected, commands);
        (void)node_a.take_output();
        node_a.persisted(elected);
        CHECK(node_a.commit_index() == 0);
    }

    SECTION("does not count a learner towards the quorum")
    {
        node_a.receive(elected + milliseconds(1), from("b", node_a.term(), acknowledge(node_a, elected)));
        membership with_learner = three_voters();
        with_learner.members.push_back({"d", "d", "d", false});
        REQUIRE(node_a.propose_membership(elected + milliseconds(2), with_learner));
        (void)node_a.take_output();
        node_a.persisted(elected + milliseconds(2));
        node_a.receive(elected + milliseconds(3), from("d", node_a.term(), acknowledge(node_a, elected)));
        CHECK(node_a.commit_index() == 1);
        CHECK(node_a.membership_change_pending());
        node_a.receive(elected + milliseconds(4), from("c", node_a.term(), acknowledge(node_a, elected)));
        CHECK(node_a.commit_index() == 2);
    }

    SECTION("changes its membership one step at a time")
    {
        node_a.receive(elected + milliseconds(1), from("b", node_a.term(), acknowledge(node_a, elected)));
        membership changed = three_voters();
        changed.members.push_back({"d", "d", "d", false});
        CHECK(node_a.propose_membership(elected + milliseconds(2), changed));
        CHECK_FALSE(node_a.propose_membership(elected + milliseconds(3), three_voters()));
    }
}

TEST_CASE("the next membership change")
{
    node node_a("a", {}, empty_state(), start, 1);
    const time_point elected = elect(node_a);
    node_a.receive(elected + milliseconds(1), from("b", node_a.term(), acknowledge(node_a, elected)));
    const time_point later = elected + seconds(1);

    SECTION("adds a new disk as a learner if the old one is unresponsive")
    {
        const std::vector<member> joining = {{"c.new", "c", "c", false}};
        const auto changed = next_membership(node_a, joining, later, {});
        REQUIRE(changed.has_value());
        CHECK_FALSE(changed->find("c.new")->voter);
        CHECK(changed->is_voter("c"));
    }

    SECTION("rejects a second process with the name of a responsive member")
    {
        node_a.receive(later, from("c", node_a.term(), acknowledge(node_a, elected)));
        const std::vector<member> joining = {{"c.new", "c", "c", false}};
        CHECK_FALSE(next_membership(node_a, joining, later + milliseconds(1), {}).has_value());
    }

    SECTION("promotes a learner only once it has caught up, and then removes the disk it replaces")
    {
        membership with_learner = three_voters();
        with_learner.members.push_back({"c.new", "c", "c", false});
        REQUIRE(node_a.propose_membership(elected + milliseconds(2), with_learner));
        (void)node_a.take_output();
        node_a.persisted(elected + milliseconds(2));
        node_a.receive(elected + milliseconds(3), from("b", node_a.term(), acknowledge(node_a, elected)));
        CHECK_FALSE(next_membership(node_a, {}, later, {}).has_value()); // it has no entries yet
        node_a.receive(elected + milliseconds(4), from("c.new", node_a.term(), acknowledge(node_a, elected)));
        const auto promoted = next_membership(node_a, {}, later, {});
        REQUIRE(promoted.has_value());
        CHECK(promoted->is_voter("c.new"));
        CHECK(promoted->is_voter("c"));
        REQUIRE(node_a.propose_membership(later, *promoted));
        (void)node_a.take_output();
        node_a.persisted(later);
        node_a.receive(later, from("b", node_a.term(), acknowledge(node_a, later)));
        node_a.receive(later, from("c.new", node_a.term(), acknowledge(node_a, later)));
        const auto removed = next_membership(node_a, {}, later + milliseconds(1), {});
        REQUIRE(removed.has_value());
        CHECK(removed->find("c") == nullptr);
    }
}

// Guards against a leader that steps down because of its own membership change: with a lost disk among the
// voters, the lease depends on the new voter at once. The group is then without a leader, and the lost disk
// is not replaced.
TEST_CASE("a learner is promoted only if the leader keeps its lease with it")
{
    node node_a("a", {}, empty_state(), start, 1);
    const time_point elected = elect(node_a);
    membership with_learner = three_voters();
    with_learner.members.push_back({"c.new", "c", "c", false});
    node_a.receive(elected + milliseconds(1), from("b", node_a.term(), acknowledge(node_a, elected)));
    REQUIRE(node_a.propose_membership(elected + milliseconds(2), with_learner));
    (void)node_a.take_output();
    node_a.persisted(elected + milliseconds(2));
    time_point now = elected;
    for (int i = 0; i < 8; ++i)
    {
        now += milliseconds(100);
        node_a.receive(now, from("b", node_a.term(), acknowledge(node_a, now)));
        node_a.tick(now);
    }
    node_a.receive(now, from("c.new", node_a.term(), acknowledge(node_a, elected)));
    CHECK_FALSE(next_membership(node_a, {}, now, {}).has_value());

    node_a.receive(now, from("c.new", node_a.term(), acknowledge(node_a, now - milliseconds(100))));
    const auto promoted = next_membership(node_a, {}, now, {});
    REQUIRE(promoted.has_value());
    CHECK(promoted->is_voter("c.new"));
    REQUIRE(node_a.propose_membership(now, *promoted));
    node_a.tick(now + milliseconds(1));
    CHECK(node_a.current_role() == role::leader);
}

TEST_CASE("a group with a target number of voters")
{
    node_options options;
    options.target_voter_count = 3;
    node node_a("a", options, empty_state(), start, 1);
    const time_point elected = elect(node_a);
    membership with_standby = three_voters();
    with_standby.members.push_back({"d", "d", "d", false});
    node_a.receive(elected + milliseconds(1), from("b", node_a.term(), acknowledge(node_a, elected)));
    node_a.receive(elected + milliseconds(1), from("c", node_a.term(), acknowledge(node_a, elected)));
    REQUIRE(node_a.propose_membership(elected + milliseconds(2), with_standby));
    (void)node_a.take_output();
    node_a.persisted(elected + milliseconds(2));
    const auto all_answer = [&node_a](time_point when)
    {
        for (const char* id : {"b", "d"})
        {
            node_a.receive(when, from(id, node_a.term(), acknowledge(node_a, when)));
        }
    };
    all_answer(elected + milliseconds(3));

    SECTION("keeps a further member as a learner while all voters respond")
    {
        node_a.receive(elected + milliseconds(4), from("c", node_a.term(), acknowledge(node_a, elected)));
        CHECK_FALSE(next_membership(node_a, {}, elected + milliseconds(500), options).has_value());
    }
    SECTION("replaces an unresponsive voter: promotes the learner first, then removes the voter")
    {
        const time_point later = elected + options.voter_replacement_timeout + seconds(1);
        all_answer(later);
        const auto promoted = next_membership(node_a, {}, later, options);
        REQUIRE(promoted.has_value());
        CHECK(promoted->is_voter("d"));
        CHECK(promoted->is_voter("c"));
        REQUIRE(node_a.propose_membership(later, *promoted));
        (void)node_a.take_output();
        node_a.persisted(later);
        all_answer(later + milliseconds(1));
        const auto removed = next_membership(node_a, {}, later + milliseconds(2), options);
        REQUIRE(removed.has_value());
        CHECK(removed->find("c") == nullptr);
        CHECK(removed->voter_count() == 3);
    }
}

TEST_CASE("a leader records why it stepped down")
{
    node node_a("a", {}, empty_state(), start, 1);
    const time_point elected = elect(node_a);
    CHECK(node_a.last_leadership().term == 0);
    const term_number led_term = node_a.term();

    SECTION("no quorum acknowledged")
    {
        time_point now = elected;
        while (node_a.current_role() == role::leader)
        {
            now += milliseconds(20);
            node_a.tick(now);
            if (now == elected + milliseconds(200))
            {
                node_a.receive(now, from("b", led_term, acknowledge(node_a, elected + milliseconds(150))));
            }
        }
        const leadership_record& last = node_a.last_leadership();
        CHECK(last.term == led_term);
        CHECK(last.reason == step_down_reason::lease_not_renewed);
        CHECK(last.ended_at == now);
        CHECK(last.length == now - elected);
        CHECK(last.since_quorum_ack == now - (elected + milliseconds(150)));
        CHECK(last.longest_event_gap == milliseconds(20));
    }

    SECTION("a higher term was seen")
    {
        node_a.receive(elected + milliseconds(100), from("c", led_term + 3, append{}));
        CHECK(node_a.last_leadership().reason == step_down_reason::higher_term);
        CHECK(node_a.last_leadership().term == led_term);
        CHECK(node_a.last_leadership().length == milliseconds(100));
        CHECK(node_a.last_leadership().higher_term == led_term + 3);
        CHECK(node_a.last_leadership().higher_term_sender == "c");
        CHECK(node_a.last_leadership().longest_event_gap == milliseconds(100));
    }

    SECTION("it was asked to step down")
    {
        node_a.step_down(elected + milliseconds(50));
        CHECK(node_a.last_leadership().reason == step_down_reason::resigned);
        CHECK(node_a.last_leadership().term == led_term);
    }
}

TEST_CASE("a leader with a member that needs a snapshot")
{
    restored_state compacted = empty_state();
    compacted.base.index = 100;
    compacted.base.term = 1;
    node_options options;
    options.max_retained_entries = 3;
    node node_a("a", options, compacted, start, 1);
    const time_point elected = elect(node_a);
    // b has an empty log and c is down, so the lease depends on b's replies.
    const auto reject_append = [&](time_point now, time_point sent)
    {
        node_a.receive(now, from("b", node_a.term(), append_reply{false, 0, to_microseconds(sent)}));
    };
    reject_append(elected + milliseconds(1), elected);
    REQUIRE(find_sent<install_snapshot>(node_a.take_output(), "b") != nullptr);
    node_a.persisted(elected + milliseconds(1));
    const time_point sent_at = elected + milliseconds(1);

    SECTION("resends it after a second, not with each heartbeat, and heartbeats keep its leadership")
    {
        int heartbeats = 0;
        time_point repeated{};
        for (time_point now = sent_at; now < sent_at + milliseconds(1300); now += milliseconds(10))
        {
            node_a.tick(now);
            const node_output output = node_a.take_output();
            node_a.persisted(now);
            if (find_sent<install_snapshot>(output, "b") != nullptr)
            {
                CHECK(repeated == time_point{});
                repeated = now;
            }
            if (find_sent<append>(output, "b") != nullptr)
            {
                ++heartbeats;
                reject_append(now, now);
                CHECK(node_a.take_output().messages.empty()); // a rejection does not cause an early resend
            }
        }
        CHECK(repeated >= sent_at + seconds(1));
        CHECK(repeated <= sent_at + seconds(1) + milliseconds(160));
        CHECK(heartbeats >= 6);
        CHECK(heartbeats <= 9);
        CHECK(node_a.current_role() == role::leader);
    }

    const auto save_newer_snapshot = [&](std::size_t entries)
    {
        (void)node_a.propose(sent_at, std::vector<std::string>(entries, "entry"));
        (void)node_a.take_output();
        node_a.persisted(sent_at);
        node_a.receive(sent_at, from("c", node_a.term(), acknowledge(node_a, sent_at)));
        REQUIRE(node_a.commit_index() == node_a.last_index());
        (void)node_a.take_output();
        node_a.compact(node_a.last_index());
        snapshot newer = compacted.base;
        newer.index = node_a.last_index();
        node_a.set_snapshot(newer);
    };

    SECTION("sends a newer one at once if the entries after the first one are compacted")
    {
        save_newer_snapshot(4);
        node_a.tick(sent_at + milliseconds(160));
        const node_output output = node_a.take_output();
        REQUIRE(find_sent<install_snapshot>(output, "b") != nullptr);
        CHECK(find_sent<install_snapshot>(output, "b")->state.index == node_a.last_index());
    }

    SECTION("sends no newer one if the entries after the first one are retained, and continues with them")
    {
        save_newer_snapshot(2);
        node_a.tick(sent_at + milliseconds(160));
        CHECK(find_sent<install_snapshot>(node_a.take_output(), "b") == nullptr);
        node_a.receive(sent_at + milliseconds(200),
                       from("b", node_a.term(), append_reply{true, 100, to_microseconds(sent_at)}));
        const node_output output = node_a.take_output();
        REQUIRE(find_sent<append>(output, "b") != nullptr);
        CHECK(find_sent<append>(output, "b")->previous_index == 100);
        CHECK(find_sent<append>(output, "b")->entries.size() == 3);
    }

    SECTION("sends none to a lost disk whose successor has joined, but one to the successor")
    {
        node_a.receive(sent_at,
                       from("c", node_a.term(), acknowledge(node_a, sent_at))); // the first entry of the term
        membership changed = node_a.members();
        changed.members.push_back({"b2", "b", "b", false});
        REQUIRE(node_a.propose_membership(sent_at, changed));
        int to_lost = 0;
        int to_successor = 0;
        int heartbeats = 0;
        for (time_point now = sent_at; now < sent_at + milliseconds(2500); now += milliseconds(10))
        {
            node_a.tick(now);
            const node_output output = node_a.take_output();
            node_a.persisted(now);
            to_lost += find_sent<install_snapshot>(output, "b") != nullptr ? 1 : 0;
            to_successor += find_sent<install_snapshot>(output, "b2") != nullptr ? 1 : 0;
            heartbeats += find_sent<append>(output, "b") != nullptr ? 1 : 0;
            if (find_sent<append>(output, "c") != nullptr)
            {
                node_a.receive(now, from("c", node_a.term(), acknowledge(node_a, now)));
                node_a.receive(now, from("b2", node_a.term(), append_reply{false, 0, to_microseconds(now)}));
            }
        }
        CHECK(to_lost == 0);
        CHECK(to_successor > 0);
        CHECK(heartbeats > 0); // its acknowledgement would count towards the quorum
    }

    SECTION("continues with the log once the snapshot has arrived")
    {
        node_a.receive(sent_at + milliseconds(50),
                       from("b", node_a.term(), append_reply{true, 100, to_microseconds(sent_at)}));
        const node_output output = node_a.take_output();
        REQUIRE(find_sent<append>(output, "b") != nullptr);
        CHECK(find_sent<append>(output, "b")->previous_index == 100);
        CHECK(find_sent<append>(output, "b")->entries.size() == 1);
    }
}

TEST_CASE("a candidacy records the time since the last leader contact and the longest gap between events")
{
    node node_a("a", {}, empty_state(), start, 1);
    time_point now = start;
    const auto tick_until = [&](time_point until, duration interval)
    {
        while (now < until)
        {
            now += interval;
            node_a.tick(now);
        }
    };
    tick_until(start + milliseconds(100), milliseconds(20));
    node_a.receive(now, from("b", 1, append{}));
    const time_point heard = now;
    CHECK(node_a.last_candidacy().number == 0);
    // A gap of more than half an election timeout delays the election, but does not change the recorded time
    // since the last leader contact.
    now += milliseconds(450);
    node_a.tick(now);
    while (node_a.last_candidacy().number == 0)
    {
        now += milliseconds(20);
        node_a.tick(now);
    }
    CHECK(node_a.last_candidacy().last_leader == "b");
    CHECK(node_a.last_candidacy().since_leader_contact == now - heard);
    CHECK(node_a.last_candidacy().since_leader_contact > milliseconds(1050));
    CHECK(node_a.last_candidacy().longest_event_gap == milliseconds(450));
}

TEST_CASE("a vote tells how long ago its voter acknowledged a leader")
{
    node voter("a", {}, empty_state(), start, 1);
    time_point now = start + milliseconds(10);
    const auto receive_vote_request = [&voter, &now](term_number term) -> std::int64_t
    {
        voter.receive(now, from("b", term, vote{voter.last_index(), 0}));
        const node_output output = voter.take_output();
        voter.persisted(now);
        const auto* const reply = find_sent<vote_reply>(output, "b");
        REQUIRE(reply != nullptr);
        REQUIRE(reply->granted);
        const std::optional<message> sent = from_wire(to_wire(message{"a", "b", term, *reply}));
        REQUIRE(sent.has_value());
        return std::get<vote_reply>(sent->body).since_acknowledged_us;
    };
    const auto pass = [&voter, &now](duration time)
    {
        for (const time_point end = now + time; now < end; now += milliseconds(10))
        {
            voter.tick(now);
            (void)voter.take_output();
            voter.persisted(now);
        }
    };
    voter.receive(now, from("c", 1, append{}));
    const node_output output = voter.take_output();
    CHECK(output.acknowledgement_limit == now + node_options{}.acknowledgement_window);
    voter.persisted(now);
    pass(milliseconds(700));
    CHECK(receive_vote_request(9) == 700'000);
}
