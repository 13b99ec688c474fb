#include "process/ticket_book.h"
#include "request/ticket.h"
#include "support/model_trace.h"

#include <array>  // array
#include <set>    // set
#include <string> // string, to_string

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

constexpr time_point begun{std::chrono::seconds{1}};
constexpr time_point expiry{std::chrono::seconds{60}};
const std::string id = "f00d";

/// An entry process with the ticket of models/at_most_once.pml.
class entry_process {
public:
    entry_process() : m_text(m_mint.make("volunteers", "booking", id, expiry)) {}

    /// Takes a step of the specification.
    /// @return what the code says where the step asks something, in the specification's words
    std::string take(const tests::model_step& step)
    {
        if (step.name == "present") {
            return present() ? "1" : "0";
        }
        if (step.name == "begin") {
            return to_word(m_book.begin(id, expiry, "fingerprint", m_now));
        }
        if (step.name == "settle") {
            settle(step.words.at(0));
        }
        else if (step.name == "expire") {
            m_now = expiry;
        }
        else {
            REQUIRE(step.name == "restart");
            restart();
        }
        return step.words.empty() ? "" : step.words[0];
    }

    /// What a further use of the ticket would be told; changes nothing.
    [[nodiscard]] std::string state() const
    {
        auto copy = m_book;
        return to_word(copy.begin(id, expiry, "fingerprint", m_now));
    }

private:
    static std::string to_word(const ticket_book::verdict& verdict)
    {
        const std::array words{"unused", "running", "lost",    "differs",
                               "full",   "expired", "finished"};
        return words.at(verdict.index());
    }

    [[nodiscard]] bool present() const
    {
        const auto verified = m_mint.verify(m_text);
        return verified && from_stamp(verified->expiry_stamp) > m_now;
    }

    void settle(const std::string& answer)
    {
        if (answer == "no") {
            m_book.release(id);
        }
        else if (answer == "unknown") {
            m_book.lose(id);
        }
        else {
            m_book.finish(id, {201, "application/json", "{}", "b-1"});
        }
    }

    void restart()
    {
        // the random number of the incarnation may even be the same
        m_mint = ticket_mint("attica-a", 42, "fedcba9876543210");
        m_book = ticket_book{};
    }

    ticket_mint m_mint{"attica-a", 42, "0123456789abcdef"};
    std::string m_text;
    ticket_book m_book;
    time_point m_now = begun;
};

/// State of the book after `step`, as the specification has it; once expired, records that don't
/// run are as good as gone.
class specified_book {
public:
    void take(const tests::model_step& step)
    {
        if (step.name == "begin" && step.words[0] == "unused") {
            m_state = "running";
        }
        else if (step.name == "settle") {
            m_state = step.words[0] == "no"        ? "unused"
                      : step.words[0] == "unknown" ? "lost"
                                                   : "finished";
        }
        else if (step.name == "restart") {
            m_state = "unused";
        }
        m_is_expired = m_is_expired || step.name == "expire";
    }

    [[nodiscard]] std::string state() const
    {
        return m_is_expired && m_state != "running" ? "expired" : m_state;
    }

private:
    std::string m_state = "unused";
    bool m_is_expired = false;
};

} // namespace

TEST_CASE("tickets follow the traces of models/at_most_once.pml")
{
    const auto traces = tests::read_traces("at_most_once");
    REQUIRE(traces.size() >= 100);
    std::set<std::string> seen;
    for (std::size_t i = 0; i < traces.size(); ++i) {
        entry_process process;
        specified_book specified;
        for (std::size_t at = 0; at < traces[i].size(); ++at) {
            const auto& step = traces[i][at];
            CAPTURE(i);
            CAPTURE(at);
            CAPTURE(step.name);
            specified.take(step);
            const std::string said = step.words.empty() ? "" : step.words[0];
            REQUIRE(process.take(step) == said);
            REQUIRE(process.state() == specified.state());
            seen.insert(step.name + ' ' + said);
        }
    }
    // the traces reach each answer of the specification
    CHECK(seen == std::set<std::string>{"begin expired", "begin finished", "begin lost",
                                        "begin running", "begin unused", "expire ", "present 0",
                                        "present 1", "restart ", "settle no", "settle unknown",
                                        "settle whole"});
}
