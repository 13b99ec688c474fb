// One of four sound replicas falls silent for a second in the middle of its streams and goes on. It is
// one that doesn't drop a request when its connection closes; the others do.
#include "deployment.h"

namespace {

using namespace review;

constexpr double most_overlap = 0.4; // seconds
constexpr int long_streams = 24;

/// A replica that records for how long it works on each stream.
class engine {
public:
    struct work {
        std::string attempt;
        std::string replica;
        double began = 0;
        double ended = 0;     ///< time of the last event made
        bool is_rest = false; ///< goes on after a Last-Event-Id
    };

    /// @param keeps_on falls silent once in each stream, and works on when its connection has closed
    engine(platform_world& world, record& book, std::vector<work>& works, std::string id,
           const std::string& address, bool keeps_on)
        : m_world{world}, m_book{book}, m_works{works}, m_id{std::move(id)}, m_keeps_on{keeps_on},
          m_server{world.loop(), [this](const auto& request) { serve(request); }}
    {
        if (!is_ok(m_server.listen(address))) {
            throw std::runtime_error{"a replica can't listen"};
        }
        world.put("servers/" + m_id, {{"service", "llm"},
                                      {"address", address},
                                      {"zone", deployment::zone},
                                      {"version", "v1"},
                                      {"slots", 8},
                                      {"state", "ready"},
                                      {"seq", 1},
                                      {"coldRemainingMs", 0},
                                      {"born", 1'760'000'000'000}});
    }

private:
    static constexpr int events = 30;
    static constexpr int silent_before = 8; ///< event before which it is silent
    static constexpr auto event_interval = 100ms;
    static constexpr auto silence = 1'200ms;

    void serve(const std::shared_ptr<server_exchange>& request)
    {
        const message_head& head = request->head();
        header_list headers;
        headers.add("X-Hickorykeel-Attempt-Id", head.headers.find("X-Hickorykeel-Attempt-Id"));
        headers.add("X-Hickorykeel-Instance-Id", m_id);
        if (head.target == "/healthz") {
            request->respond(200, headers, {});
            return;
        }
        const std::string last{head.headers.find("Last-Event-Id")};
        m_works.push_back({std::string{head.headers.find("X-Hickorykeel-Attempt-Id")}, m_id,
                           m_book.now_s(), m_book.now_s(), !last.empty()});
        m_book.line(
            fmt::format("ran {} at {} after event '{}'", m_works.back().attempt, m_id, last));
        headers.add("X-Hickorykeel-Response-Seal", "seal-of-" + m_id);
        headers.add("Content-Type", "text/event-stream");
        request->begin(200, headers);
        make_event(request, last.empty() ? 1 : std::stoi(last) + 1, m_works.size() - 1);
    }

    /// Makes an event, and the next ones later.
    void make_event(const std::shared_ptr<server_exchange>& request, int number, std::size_t index)
    {
        work& own = m_works[index];
        if (!m_keeps_on && !request->is_open()) {
            return;
        }
        own.ended = m_book.now_s();
        request->send(fmt::format("id: {}\ndata: word\n\n", number));
        if (number >= events) {
            request->end();
            m_book.line(fmt::format("{} has finished {}", m_id, own.attempt));
            return;
        }
        const bool is_silent =
            has_trouble() && m_keeps_on && !own.is_rest && number + 1 == silent_before;
        if (is_silent) {
            m_book.line(fmt::format("{} is silent for a while on {}", m_id, own.attempt));
        }
        const auto timer = std::make_shared<asio::steady_timer>(m_world.loop());
        timer->expires_after(is_silent ? silence : event_interval);
        timer->async_wait([this, timer, request, number, index](const asio::error_code& failure) {
            if (!failure) {
                make_event(request, number + 1, index);
            }
        });
    }

    platform_world& m_world;
    record& m_book;
    std::vector<work>& m_works;
    std::string m_id;
    bool m_keeps_on;
    hickorykeel::gateway::http_server m_server;
};

int run(record& book)
{
    deployment site{book};
    site.world().put(
        "op/config",
        to_configuration({to_route("hint", "llm", "streaming", 2, true, 15'000)},
                         {{{"name", "llm"},
                           {"healthPath", "/healthz"},
                           {"maxConns", 290},
                           {"engine", {{"slots", 8}, {"kvCapacityTokens", 357'504}}}}}));
    std::vector<engine::work> works;
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 1; i <= 4; ++i) {
        engines.push_back(std::make_unique<engine>(
            site.world(), book, works, "r" + std::to_string(i), site.address(100 + i, 0), i == 1));
    }
    site.start_gateways(2);
    site.run_for(7s); // until the gateways are in touch
    for (int i = 0; i < long_streams; ++i) {
        site.send(1 + i % 2, "stream", "POST", "/hint/x",
                  {{"Api-Key", "key-a"},
                   {"X-Hickorykeel-Model", "m"},
                   {"X-Hickorykeel-Token-Usage", "300,120"},
                   {"X-Hickorykeel-Prompt-Prefix", fmt::format("a1:100,b{0}:100,c{0}:100", i)}},
                  fmt::format("prompt {}", i));
        site.run_for(500ms);
    }
    site.run_for(6s);
    site.record_answers();
    if (!site.are_all_running()) {
        book.line("a gateway has ended by itself");
        return broken;
    }

    int twice = 0;
    for (const engine::work& rest : works) {
        for (const engine::work& first : works) {
            if (rest.is_rest && !first.is_rest && first.attempt == rest.attempt &&
                first.ended > rest.began + most_overlap) {
                ++twice;
                book.line(fmt::format(
                    "{} went on at {} at {:.3f} s; {} worked on it until {:.3f} s", rest.attempt,
                    rest.replica, rest.began, first.replica, first.ended));
            }
        }
    }
    const auto served = std::count_if(site.requests.begin(), site.requests.end(),
                                      [](const auto& sent) { return deployment::is_served(sent); });
    book.line(fmt::format("streams {}, served whole {}, at work at two replicas at once {}",
                          site.requests.size(), served, twice));
    return twice > 0 || (!has_trouble() && served < long_streams) ? broken : held;
}

} // namespace

int main()
{
    return review::run_case(run);
}
