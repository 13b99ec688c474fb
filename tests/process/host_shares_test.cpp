#include "process/limits/host_shares.h"

#include <algorithm> // find_if
#include <string>    // string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

host_list make_list(std::uint64_t revision, const std::vector<std::string>& names,
                    const std::string& leaving = "")
{
    host_list list;
    list.revision = revision;
    for (const std::string& name : names) {
        host listed;
        listed.name = name;
        listed.failure_domain = "d";
        listed.state = name == leaving ? host_state::leaving : host_state::live;
        list.hosts.push_back(listed);
    }
    return list;
}

/// A host with its incarnation, which its messages carry.
struct member {
    std::string name;
    std::uint64_t incarnation;
    host_shares shares;

    member(const std::string& chosen, std::uint64_t number, const share_options& options = {})
        : name{chosen}, incarnation{number}, shares{chosen, "d", number, options}
    {
    }
};

share_answer ask(const member& asker, member& asked, time_point now)
{
    return asked.shares.on_claim(asker.name, asker.incarnation,
                                 {asker.shares.host_list_revision(), 0}, now);
}

/// Question and answer at one moment.
void claim(member& asker, member& asked, time_point now)
{
    const share_answer answer = ask(asker, asked, now);
    asker.shares.on_answer(asked.name, asked.incarnation, answer, now, now);
}

const held_share* entry_for(const share_answer& answer, const std::string& name)
{
    const auto found = std::find_if(answer.others.begin(), answer.others.end(),
                                    [&](const held_share& share) { return share.host == name; });
    return found == answer.others.end() ? nullptr : &*found;
}

/// Two listed hosts, each with the other's consent.
struct pair_of_hosts {
    member a{"a", 1};
    member b{"b", 2};

    pair_of_hosts()
    {
        for (member* each : {&a, &b}) {
            each->shares.apply(make_list(1, {"a", "b"}), start);
        }
        claim(a, b, start);
        // an answer given at the moment of a promise doesn't count beyond it
        claim(b, a, start + 1ms);
    }
};

} // namespace

TEST_CASE("a host without others")
{
    member a{"a", 1};
    CHECK(a.shares.fraction() == 0);
    a.shares.apply(make_list(1, {"a"}), start);
    a.shares.apply(make_list(2, {"a"}), start);
    CHECK(a.shares.fraction() == 1);

    SUBCASE("an older list changes nothing")
    {
        a.shares.apply(make_list(1, {"a", "b"}), start);
        CHECK(a.shares.fraction() == 1);
        CHECK(a.shares.host_list_revision() == 2);
    }

    SUBCASE("hosts of other failure domains don't count")
    {
        host_list list = make_list(3, {"a", "b"});
        list.hosts[1].failure_domain = "elsewhere";
        a.shares.apply(list, start);
        CHECK(a.shares.fraction() == 1);
        CHECK(a.shares.hosts_to_ask().empty());
    }

    SUBCASE("one that leaves uses nothing")
    {
        a.shares.apply(make_list(3, {"a"}, "a"), start);
        CHECK(a.shares.fraction() == 0);
    }
}

TEST_CASE("consent within a failure domain")
{
    SUBCASE("nothing is used until every listed host has consented")
    {
        member a{"a", 1};
        member b{"b", 2};
        member c{"c", 3};
        for (member* each : {&a, &b, &c}) {
            each->shares.apply(make_list(1, {"a", "b", "c"}), start);
        }
        CHECK(a.shares.hosts_to_ask() == std::vector<std::string>{"b", "c"});
        claim(a, b, start);
        CHECK(a.shares.fraction() == 0);
        a.shares.advance(start + 1h);
        CHECK(a.shares.fraction() == 0);
        claim(a, b, start + 1h);
        claim(a, c, start + 1h);
        CHECK(a.shares.fraction() == doctest::Approx(1.0 / 3));
    }

    SUBCASE("two hosts have half each")
    {
        const pair_of_hosts both;
        CHECK(both.a.shares.fraction() == doctest::Approx(0.5));
        CHECK(both.b.shares.fraction() == doctest::Approx(0.5));
    }

    SUBCASE("a started host gets only what the others leave")
    {
        member a{"a", 1};
        member b{"b", 2};
        a.shares.apply(make_list(1, {"a"}), start);
        b.shares.apply(make_list(2, {"a", "b"}), start);
        // the first uses all of it and lends on it until a settle term after it fell
        const share_answer answer = ask(b, a, start);
        REQUIRE(entry_for(answer, "b") != nullptr);
        CHECK(entry_for(answer, "b")->fraction == 0);
        b.shares.on_answer("a", 1, answer, start, start);
        CHECK(b.shares.fraction() == 0);
    }

    SUBCASE("consent falls to half after the hold term, and to nothing after the isolation term")
    {
        pair_of_hosts both;
        const share_options terms;
        CHECK(both.a.shares.next_fall(start) == start + terms.hold_term);
        both.a.shares.advance(start + terms.hold_term - 1ms);
        CHECK(both.a.shares.fraction() == doctest::Approx(0.5));
        both.a.shares.advance(start + terms.hold_term);
        CHECK(both.a.shares.fraction() == doctest::Approx(0.25));
        CHECK(both.a.shares.next_fall(start + terms.hold_term) == start + terms.isolation_term);
        both.a.shares.advance(start + terms.isolation_term);
        CHECK(both.a.shares.fraction() == 0);
    }

    SUBCASE("the granter counts a consent for longer than its holder")
    {
        pair_of_hosts both;
        const share_options terms;
        const time_point later = start + terms.isolation_term;
        both.a.shares.advance(later);
        CHECK(both.a.shares.fraction() == 0);
        both.b.shares.apply(make_list(2, {"b"}), later);
        CHECK(both.b.shares.fraction() == doctest::Approx(0.75));
        both.b.shares.advance(later + terms.isolation_term);
        CHECK(both.b.shares.fraction() == 1);
    }

    SUBCASE("an answer to an older question doesn't lift what was promised since")
    {
        pair_of_hosts both;
        const time_point asked = start + 1s;
        const share_answer late = ask(both.a, both.b, asked);
        both.a.shares.apply(make_list(2, {"a", "b"}, "a"), asked);
        const share_options terms;
        const time_point promised = asked + 2 * terms.settle_term;
        const share_answer promise = ask(both.b, both.a, promised);
        CHECK(promise.fraction == 0);
        both.a.shares.apply(make_list(3, {"a", "b"}), promised);
        both.a.shares.on_answer("b", 2, late, asked, promised);
        CHECK(both.a.shares.fraction() == 0);
        // a question since then is answered anew
        claim(both.a, both.b, promised + 1s);
        CHECK(both.a.shares.fraction() == doctest::Approx(0.5));
    }

    SUBCASE("a fraction that fell is counted until its loans have ended")
    {
        pair_of_hosts both;
        both.a.shares.apply(make_list(2, {"a", "b"}, "a"), start);
        CHECK(both.a.shares.fraction() == 0);
        CHECK(ask(both.b, both.a, start + 1ms).fraction == doctest::Approx(0.5));
        const share_options terms;
        CHECK(ask(both.b, both.a, start + 2 * terms.settle_term).fraction == 0);
    }
}

TEST_CASE("hosts that come and go")
{
    pair_of_hosts both;
    const share_options terms;

    SUBCASE("a dropped host gets no new consent, keeps the old one, and others are told of it")
    {
        both.b.shares.apply(make_list(2, {"b", "c"}), start + 1s);
        member c{"c", 3};
        c.shares.apply(make_list(2, {"b", "c"}), start + 1s);
        const share_answer refused = ask(both.a, both.b, start + 1s);
        REQUIRE(entry_for(refused, "a") != nullptr);
        CHECK(refused.others.back().fraction == 0);
        const share_answer told = ask(c, both.b, start + 1s);
        REQUIRE(entry_for(told, "a") != nullptr);
        CHECK(entry_for(told, "a")->fraction == doctest::Approx(0.5));
        CHECK(entry_for(told, "a")->remaining >= terms.isolation_term - 2s);
    }

    SUBCASE("a host that a newer list adds is consented to before the own list shows it")
    {
        member c{"c", 3};
        c.shares.apply(make_list(2, {"a", "b", "c"}), start + 1s);
        ask(c, both.a, start + 1s);
        // the other may still use half; these two share the rest
        CHECK(both.a.shares.fraction() == doctest::Approx(0.25));
        const time_point settled = start + 1s + 2 * terms.settle_term;
        const share_answer answer = ask(c, both.a, settled);
        REQUIRE(entry_for(answer, "c") != nullptr);
        CHECK(answer.others.back().fraction > 0);
    }

    SUBCASE("a goodbye ends the fraction after the loans that rest on it")
    {
        both.b.shares.apply(make_list(2, {"b"}), start);
        both.b.shares.on_leave_notice("a", 1, start);
        CHECK(both.b.shares.fraction() == doctest::Approx(0.5));
        both.b.shares.advance(start + 2 * terms.settle_term);
        CHECK(both.b.shares.fraction() == 1);
    }

    SUBCASE("a newer incarnation ends the earlier one, whose messages count no more")
    {
        member again{"a", 7};
        again.shares.apply(make_list(1, {"a", "b"}), start);
        const share_answer first = ask(again, both.b, start);
        CHECK(first.others.back().incarnation == 7);
        // there is no room before the loans of the earlier one have ended
        CHECK(first.others.back().fraction == 0);
        claim(both.b, again, start + 2ms);
        CHECK(both.b.shares.fraction() == doctest::Approx(0.5));
        const share_answer old = ask(both.a, both.b, start);
        CHECK(old.others.empty());
        CHECK(old.fraction == 0);
        claim(again, both.b, start + 2 * terms.settle_term);
        CHECK(again.shares.fraction() == doctest::Approx(0.5));
    }
}

TEST_CASE("a host that restarts has forgotten the consents of its earlier incarnation")
{
    share_options terms;
    terms.counts_forgotten = true;
    pair_of_hosts both;
    const time_point restarted = start + 5s;
    const auto sum = [&](member& host, time_point now) {
        host.shares.advance(now);
        both.b.shares.advance(now);
        return host.shares.fraction() + both.b.shares.fraction();
    };

    SUBCASE("a running host that the list dropped keeps within what is left")
    {
        member again{"a", 7, terms};
        again.shares.apply(make_list(2, {"a"}), restarted);
        CHECK(again.shares.fraction() == 0);
        for (const duration later : {0s, 6s, 13s, 600s, 7'000s, 8'000s}) {
            CHECK(sum(again, restarted + later) <= 1);
        }
        CHECK(again.shares.fraction() == 1);
    }

    SUBCASE("a lone host serves with half of the rights after the hold term")
    {
        member again{"a", 7, terms};
        again.shares.apply(make_list(2, {"a"}), restarted);
        again.shares.advance(restarted + terms.hold_term + 2 * terms.settle_term);
        CHECK(again.shares.fraction() == doctest::Approx(0.5));
    }

    SUBCASE("the first list drops nobody")
    {
        member again{"a", 7, terms};
        again.shares.apply(make_list(1, {"a"}), restarted);
        CHECK(again.shares.fraction() == 1);
    }

    SUBCASE("a dropped host that answers is counted with what it has, and it stops")
    {
        member again{"a", 7, terms};
        again.shares.apply(make_list(1, {"a", "b"}), restarted);
        claim(again, both.b, restarted);
        CHECK(both.b.shares.fraction() == 0);
        again.shares.apply(make_list(2, {"a"}), restarted);
        CHECK(again.shares.fraction() <= 0.5);
    }

    SUBCASE("hosts that all restarted share what is left")
    {
        member a{"a", 7, terms};
        member c{"c", 8, terms};
        for (member* each : {&a, &c}) {
            each->shares.apply(make_list(2, {"a", "c"}), restarted);
        }
        claim(a, c, restarted);
        claim(c, a, restarted + 1ms);
        CHECK(a.shares.fraction() + c.shares.fraction() == 0);
        const time_point later = restarted + terms.hold_term + 2 * terms.settle_term;
        claim(a, c, later);
        claim(c, a, later + 1ms);
        CHECK(a.shares.fraction() + c.shares.fraction() == doctest::Approx(0.5));
        CHECK(a.shares.fraction() == doctest::Approx(0.25));
    }

    SUBCASE("a late answer of the incarnation before doesn't end the newer one")
    {
        member a{"a", 1};
        member b{"b", 2};
        member again{"b", 9};
        for (member* each : {&a, &b, &again}) {
            each->shares.apply(make_list(1, {"a", "b"}), start);
        }
        const share_answer late = ask(a, b, start);
        claim(again, a, start + 1s);
        REQUIRE(again.shares.fraction() == doctest::Approx(0.5));
        a.shares.on_answer("b", 2, late, start, start + 2s);
        a.shares.apply(make_list(2, {"a"}), start + 2s);
        a.shares.advance(start + 2s + 2 * terms.settle_term);
        CHECK(a.shares.fraction() + again.shares.fraction() <= 1);
    }
}

TEST_CASE("the others keep their shares while one host is replaced")
{
    std::vector<std::string> names;
    std::vector<member> members;
    for (std::uint64_t i = 1; i <= 7; ++i) {
        names.push_back("h" + std::to_string(i));
        members.emplace_back(names.back(), i);
    }
    time_point now = start;
    const auto claim_all = [&] {
        for (member& asker : members) {
            now += 10ms;
            for (member& asked : members) {
                if (asker.name != asked.name) {
                    claim(asker, asked, now);
                }
            }
        }
    };
    for (member& each : members) {
        each.shares.apply(make_list(1, names), now);
    }
    claim_all();
    claim_all();
    members[0] = member{"h1", 99};
    members[0].shares.apply(make_list(1, names), now);
    const time_point replaced = now;
    const share_options terms;
    while (now < replaced + 2 * terms.settle_term) {
        claim_all();
        for (std::size_t i = 1; i < members.size(); ++i) {
            members[i].shares.advance(now);
            CHECK(members[i].shares.fraction() == doctest::Approx(1.0 / 7));
        }
        if (now < replaced + terms.settle_term) {
            CHECK(members[0].shares.fraction() == 0);
        }
    }
    claim_all();
    CHECK(members[0].shares.fraction() == doctest::Approx(1.0 / 7));
}

TEST_CASE("what each rule prevents")
{
    share_options options;
    SUBCASE("consent")
    {
        options.waits_for_consent = false;
        member a{"a", 1, options};
        a.shares.apply(make_list(1, {"a", "b"}), start);
        CHECK(a.shares.fraction() > 0);
    }
    SUBCASE("fall without consent")
    {
        options.falls_without_consent = false;
        member a{"a", 1, options};
        member b{"b", 2};
        for (member* each : {&a, &b}) {
            each->shares.apply(make_list(1, {"a", "b"}), start);
        }
        claim(a, b, start);
        a.shares.advance(start + 2 * options.isolation_term);
        CHECK(a.shares.fraction() == doctest::Approx(0.5));
        b.shares.apply(make_list(2, {"b"}), start + 2 * options.isolation_term);
        CHECK(a.shares.fraction() + b.shares.fraction() > 1);
    }
    SUBCASE("loans that rest on a fraction")
    {
        options.counts_settling = false;
        member a{"a", 1, options};
        a.shares.apply(make_list(1, {"a"}), start);
        a.shares.apply(make_list(2, {"a", "b"}), start);
        member b{"b", 2};
        b.shares.apply(make_list(2, {"a", "b"}), start);
        CHECK(ask(b, a, start).fraction == 0);
    }
    SUBCASE("consents of an earlier incarnation")
    {
        options.counts_forgotten = false;
        const pair_of_hosts both;
        member again{"a", 7, options};
        again.shares.apply(make_list(2, {"a"}), start + 1s);
        CHECK(again.shares.fraction() + both.b.shares.fraction() > 1);
    }
    SUBCASE("promises")
    {
        options.bounds_old_consents = false;
        member a{"a", 1, options};
        member b{"b", 2};
        for (member* each : {&a, &b}) {
            each->shares.apply(make_list(1, {"a", "b"}), start);
        }
        const share_answer late = ask(a, b, start);
        CHECK(ask(b, a, start + 1s).fraction == 0);
        a.shares.on_answer("b", 2, late, start, start + 2s);
        CHECK(a.shares.fraction() == doctest::Approx(0.5));
    }
}
