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
struct test_host {
    std::string name;
    std::uint64_t incarnation;
    host_shares shares;

    test_host(const std::string& chosen, std::uint64_t number, const share_options& options = {})
        : name{chosen}, incarnation{number}, shares{chosen, "d", number, options}
    {
    }
};

share_answer send_claim(const test_host& claimant, test_host& granter, time_point now)
{
    return granter.shares.on_claim(claimant.name, claimant.incarnation,
                                   {claimant.shares.host_list_revision(), 0}, now);
}

/// Sends a claim and applies its reply at the same time.
void exchange_claim(test_host& claimant, test_host& granter, time_point now)
{
    const share_answer answer = send_claim(claimant, granter, now);
    claimant.shares.on_answer(granter.name, granter.incarnation, answer, now, now);
}

const held_share* entry_for(const share_answer& answer, const std::string& name)
{
    const auto found = std::find_if(answer.others.begin(), answer.others.end(),
                                    [&](const held_share& share) { return share.host == name; });
    return found == answer.others.end() ? nullptr : &*found;
}

/// Two listed hosts, each with the other's consent.
struct consenting_pair {
    test_host a{"a", 1};
    test_host b{"b", 2};

    consenting_pair()
    {
        for (test_host* each : {&a, &b}) {
            each->shares.apply(make_list(1, {"a", "b"}), start);
        }
        exchange_claim(a, b, start);
        // a consent received at the time of an own reply is limited to that reply's fraction
        exchange_claim(b, a, start + 1ms);
    }
};

} // namespace

TEST_CASE("a host without others")
{
    test_host a{"a", 1};
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
        CHECK(a.shares.hosts_to_claim_from().empty());
    }

    SUBCASE("a leaving host uses nothing")
    {
        a.shares.apply(make_list(3, {"a"}, "a"), start);
        CHECK(a.shares.fraction() == 0);
    }
}

TEST_CASE("consent within a failure domain")
{
    SUBCASE("nothing is used until every listed host has consented")
    {
        test_host a{"a", 1};
        test_host b{"b", 2};
        test_host c{"c", 3};
        for (test_host* each : {&a, &b, &c}) {
            each->shares.apply(make_list(1, {"a", "b", "c"}), start);
        }
        CHECK(a.shares.hosts_to_claim_from() == std::vector<std::string>{"b", "c"});
        exchange_claim(a, b, start);
        CHECK(a.shares.fraction() == 0);
        a.shares.advance(start + 1h);
        CHECK(a.shares.fraction() == 0);
        exchange_claim(a, b, start + 1h);
        exchange_claim(a, c, start + 1h);
        CHECK(a.shares.fraction() == doctest::Approx(1.0 / 3));
    }

    SUBCASE("two hosts have half each")
    {
        const consenting_pair both;
        CHECK(both.a.shares.fraction() == doctest::Approx(0.5));
        CHECK(both.b.shares.fraction() == doctest::Approx(0.5));
    }

    SUBCASE("a started host gets only what the others leave")
    {
        test_host a{"a", 1};
        test_host b{"b", 2};
        a.shares.apply(make_list(1, {"a"}), start);
        b.shares.apply(make_list(2, {"a", "b"}), start);
        // the first host used everything; its loans count for a settle term after the decrease
        const share_answer answer = send_claim(b, a, start);
        REQUIRE(entry_for(answer, "b") != nullptr);
        CHECK(entry_for(answer, "b")->fraction == 0);
        b.shares.on_answer("a", 1, answer, start, start);
        CHECK(b.shares.fraction() == 0);
    }

    SUBCASE("consent falls to half after the hold term, and to nothing after the isolation term")
    {
        consenting_pair both;
        const share_options options;
        CHECK(both.a.shares.next_decrease(start) == start + options.hold_term);
        both.a.shares.advance(start + options.hold_term - 1ms);
        CHECK(both.a.shares.fraction() == doctest::Approx(0.5));
        both.a.shares.advance(start + options.hold_term);
        CHECK(both.a.shares.fraction() == doctest::Approx(0.25));
        CHECK(both.a.shares.next_decrease(start + options.hold_term) ==
              start + options.isolation_term);
        both.a.shares.advance(start + options.isolation_term);
        CHECK(both.a.shares.fraction() == 0);
    }

    SUBCASE("the granter counts a consent for longer than its holder")
    {
        consenting_pair both;
        const share_options options;
        const time_point later = start + options.isolation_term;
        both.a.shares.advance(later);
        CHECK(both.a.shares.fraction() == 0);
        both.b.shares.apply(make_list(2, {"b"}), later);
        CHECK(both.b.shares.fraction() == doctest::Approx(0.75));
        both.b.shares.advance(later + options.isolation_term);
        CHECK(both.b.shares.fraction() == 1);
    }

    SUBCASE("a reply to an older claim doesn't exceed the fraction declared since")
    {
        consenting_pair both;
        const time_point asked = start + 1s;
        const share_answer late = send_claim(both.a, both.b, asked);
        both.a.shares.apply(make_list(2, {"a", "b"}, "a"), asked);
        const share_options options;
        const time_point replied_at = asked + 2 * options.settle_term;
        const share_answer reply = send_claim(both.b, both.a, replied_at);
        CHECK(reply.fraction == 0);
        both.a.shares.apply(make_list(3, {"a", "b"}), replied_at);
        both.a.shares.on_answer("b", 2, late, asked, replied_at);
        CHECK(both.a.shares.fraction() == 0);
        // a newer claim gets a new consent
        exchange_claim(both.a, both.b, replied_at + 1s);
        CHECK(both.a.shares.fraction() == doctest::Approx(0.5));
    }

    SUBCASE("a former share counts until its loans have ended")
    {
        consenting_pair both;
        both.a.shares.apply(make_list(2, {"a", "b"}, "a"), start);
        CHECK(both.a.shares.fraction() == 0);
        CHECK(send_claim(both.b, both.a, start + 1ms).fraction == doctest::Approx(0.5));
        const share_options options;
        CHECK(send_claim(both.b, both.a, start + 2 * options.settle_term).fraction == 0);
    }
}

TEST_CASE("hosts that join and leave")
{
    consenting_pair both;
    const share_options options;

    SUBCASE("a removed host gets no new consent and keeps the old one, which is reported")
    {
        both.b.shares.apply(make_list(2, {"b", "c"}), start + 1s);
        test_host c{"c", 3};
        c.shares.apply(make_list(2, {"b", "c"}), start + 1s);
        const share_answer refused = send_claim(both.a, both.b, start + 1s);
        REQUIRE(entry_for(refused, "a") != nullptr);
        CHECK(refused.others.back().fraction == 0);
        const share_answer told = send_claim(c, both.b, start + 1s);
        REQUIRE(entry_for(told, "a") != nullptr);
        CHECK(entry_for(told, "a")->fraction == doctest::Approx(0.5));
        CHECK(entry_for(told, "a")->remaining >= options.isolation_term - 2s);
    }

    SUBCASE("a host added by a newer list gets a consent before the own list contains it")
    {
        test_host c{"c", 3};
        c.shares.apply(make_list(2, {"a", "b", "c"}), start + 1s);
        send_claim(c, both.a, start + 1s);
        // the other host may still use half; these two share the remainder
        CHECK(both.a.shares.fraction() == doctest::Approx(0.25));
        const time_point settled = start + 1s + 2 * options.settle_term;
        const share_answer answer = send_claim(c, both.a, settled);
        REQUIRE(entry_for(answer, "c") != nullptr);
        CHECK(answer.others.back().fraction > 0);
    }

    SUBCASE("a leave notice ends the share after its loans have ended")
    {
        both.b.shares.apply(make_list(2, {"b"}), start);
        both.b.shares.on_leave_notice("a", 1, start);
        CHECK(both.b.shares.fraction() == doctest::Approx(0.5));
        both.b.shares.advance(start + 2 * options.settle_term);
        CHECK(both.b.shares.fraction() == 1);
    }

    SUBCASE("a newer incarnation ends the earlier one, whose messages are ignored")
    {
        test_host successor{"a", 7};
        successor.shares.apply(make_list(1, {"a", "b"}), start);
        const share_answer first = send_claim(successor, both.b, start);
        CHECK(first.others.back().incarnation == 7);
        // nothing is free before the loans of the earlier incarnation have ended
        CHECK(first.others.back().fraction == 0);
        exchange_claim(both.b, successor, start + 2ms);
        CHECK(both.b.shares.fraction() == doctest::Approx(0.5));
        const share_answer old = send_claim(both.a, both.b, start);
        CHECK(old.others.empty());
        CHECK(old.fraction == 0);
        exchange_claim(successor, both.b, start + 2 * options.settle_term);
        CHECK(successor.shares.fraction() == doctest::Approx(0.5));
    }
}

TEST_CASE("a host that restarts has forgotten the consents of its earlier incarnation")
{
    share_options options;
    options.counts_forgotten_consents = true;
    consenting_pair both;
    const time_point restarted = start + 5s;
    const auto sum = [&](test_host& host, time_point now) {
        host.shares.advance(now);
        both.b.shares.advance(now);
        return host.shares.fraction() + both.b.shares.fraction();
    };

    SUBCASE("a running host removed from the list and its successor use at most the full weight")
    {
        test_host successor{"a", 7, options};
        successor.shares.apply(make_list(2, {"a"}), restarted);
        CHECK(successor.shares.fraction() == 0);
        for (const duration later : {0s, 6s, 13s, 600s, 7'000s, 8'000s}) {
            CHECK(sum(successor, restarted + later) <= 1);
        }
        CHECK(successor.shares.fraction() == 1);
    }

    SUBCASE("a single host uses half of the weight after the hold term")
    {
        test_host successor{"a", 7, options};
        successor.shares.apply(make_list(2, {"a"}), restarted);
        successor.shares.advance(restarted + options.hold_term + 2 * options.settle_term);
        CHECK(successor.shares.fraction() == doctest::Approx(0.5));
    }

    SUBCASE("the first host list can't have removed a host")
    {
        test_host successor{"a", 7, options};
        successor.shares.apply(make_list(1, {"a"}), restarted);
        CHECK(successor.shares.fraction() == 1);
    }

    SUBCASE("the share of a removed host that replies is counted, and that host stops using it")
    {
        test_host successor{"a", 7, options};
        successor.shares.apply(make_list(1, {"a", "b"}), restarted);
        exchange_claim(successor, both.b, restarted);
        CHECK(both.b.shares.fraction() == 0);
        successor.shares.apply(make_list(2, {"a"}), restarted);
        CHECK(successor.shares.fraction() <= 0.5);
    }

    SUBCASE("hosts that all restarted split what is free")
    {
        test_host a{"a", 7, options};
        test_host c{"c", 8, options};
        for (test_host* each : {&a, &c}) {
            each->shares.apply(make_list(2, {"a", "c"}), restarted);
        }
        exchange_claim(a, c, restarted);
        exchange_claim(c, a, restarted + 1ms);
        CHECK(a.shares.fraction() + c.shares.fraction() == 0);
        const time_point later = restarted + options.hold_term + 2 * options.settle_term;
        exchange_claim(a, c, later);
        exchange_claim(c, a, later + 1ms);
        CHECK(a.shares.fraction() + c.shares.fraction() == doctest::Approx(0.5));
        CHECK(a.shares.fraction() == doctest::Approx(0.25));
    }

    SUBCASE("a late reply of the earlier incarnation doesn't end the newer one")
    {
        test_host a{"a", 1};
        test_host b{"b", 2};
        test_host successor{"b", 9};
        for (test_host* each : {&a, &b, &successor}) {
            each->shares.apply(make_list(1, {"a", "b"}), start);
        }
        const share_answer late = send_claim(a, b, start);
        exchange_claim(successor, a, start + 1s);
        REQUIRE(successor.shares.fraction() == doctest::Approx(0.5));
        a.shares.on_answer("b", 2, late, start, start + 2s);
        a.shares.apply(make_list(2, {"a"}), start + 2s);
        a.shares.advance(start + 2s + 2 * options.settle_term);
        CHECK(a.shares.fraction() + successor.shares.fraction() <= 1);
    }
}

TEST_CASE("the others keep their shares while one host is replaced")
{
    std::vector<std::string> names;
    std::vector<test_host> members;
    for (std::uint64_t i = 1; i <= 7; ++i) {
        names.push_back("h" + std::to_string(i));
        members.emplace_back(names.back(), i);
    }
    time_point now = start;
    const auto claim_all = [&] {
        for (test_host& claimant : members) {
            now += 10ms;
            for (test_host& asked : members) {
                if (claimant.name != asked.name) {
                    exchange_claim(claimant, asked, now);
                }
            }
        }
    };
    for (test_host& each : members) {
        each.shares.apply(make_list(1, names), now);
    }
    claim_all();
    claim_all();
    members[0] = test_host{"h1", 99};
    members[0].shares.apply(make_list(1, names), now);
    const time_point replaced = now;
    const share_options options;
    while (now < replaced + 2 * options.settle_term) {
        claim_all();
        for (std::size_t i = 1; i < members.size(); ++i) {
            members[i].shares.advance(now);
            CHECK(members[i].shares.fraction() == doctest::Approx(1.0 / 7));
        }
        if (now < replaced + options.settle_term) {
            CHECK(members[0].shares.fraction() == 0);
        }
    }
    claim_all();
    CHECK(members[0].shares.fraction() == doctest::Approx(1.0 / 7));
}

TEST_CASE("shares exceed their bounds without each rule")
{
    share_options options;
    SUBCASE("consent")
    {
        options.waits_for_consent = false;
        test_host a{"a", 1, options};
        a.shares.apply(make_list(1, {"a", "b"}), start);
        CHECK(a.shares.fraction() > 0);
    }
    SUBCASE("expiry of consents")
    {
        options.expires_consents = false;
        test_host a{"a", 1, options};
        test_host b{"b", 2};
        for (test_host* each : {&a, &b}) {
            each->shares.apply(make_list(1, {"a", "b"}), start);
        }
        exchange_claim(a, b, start);
        a.shares.advance(start + 2 * options.isolation_term);
        CHECK(a.shares.fraction() == doctest::Approx(0.5));
        b.shares.apply(make_list(2, {"b"}), start + 2 * options.isolation_term);
        CHECK(a.shares.fraction() + b.shares.fraction() > 1);
    }
    SUBCASE("former shares whose loans are open")
    {
        options.counts_settling = false;
        test_host a{"a", 1, options};
        a.shares.apply(make_list(1, {"a"}), start);
        a.shares.apply(make_list(2, {"a", "b"}), start);
        test_host b{"b", 2};
        b.shares.apply(make_list(2, {"a", "b"}), start);
        CHECK(send_claim(b, a, start).fraction == 0);
    }
    SUBCASE("consents of an earlier incarnation")
    {
        options.counts_forgotten_consents = false;
        const consenting_pair both;
        test_host successor{"a", 7, options};
        successor.shares.apply(make_list(2, {"a"}), start + 1s);
        CHECK(successor.shares.fraction() + both.b.shares.fraction() > 1);
    }
    SUBCASE("bound on stale consents")
    {
        options.bounds_stale_consents = false;
        test_host a{"a", 1, options};
        test_host b{"b", 2};
        for (test_host* each : {&a, &b}) {
            each->shares.apply(make_list(1, {"a", "b"}), start);
        }
        const share_answer late = send_claim(a, b, start);
        CHECK(send_claim(b, a, start + 1s).fraction == 0);
        a.shares.on_answer("b", 2, late, start, start + 2s);
        CHECK(a.shares.fraction() == doctest::Approx(0.5));
    }
}
