// One replica sends a stream whose first event has no end, while callers book at sound replicas.

#include "fleet.h"

using namespace review;

namespace {

constexpr int booking_callers = 24;
constexpr int stream_callers = 8;
constexpr int subjects = 464; // of household reviews
constexpr long traffic_begins_ms = 2'000;
constexpr long trouble_begins_ms = 9'000;
constexpr long trouble_ends_ms = trouble_begins_ms + 5'500;
constexpr long end_ms = 22'000;
constexpr int answers_per_fault = 33; // 0.03 of the answers, as `garble` in the site file

/// Answers with a head and then one event without an end, until the caller closes.
bool send_endless_event(connection& peer, const message& request, const replica& sender,
                        machine_link& used)
{
    const std::string block(65'536, 'w');
    bool is_open = peer.send("HTTP/1.1 200 OK\r\n" + sender.answer_headers(request) +
                             "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
    while (is_open) {
        used.pass(block.size());
        is_open = peer.send(block);
    }
    return true;
}

void ask_for_streams(fleet& tested, int number, tally& counts)
{
    caller asking{tested.place(), "stream-" + std::to_string(number)};
    const std::string front = tested.place().front(number % fleet::machines);
    int count = 0;
    while (now_ms() < end_ms) {
        const std::string subject = std::to_string((number * 31 + ++count) % subjects);
        const std::string prompt = "X-Hickorykeel-Model: m\r\n"
                                   "X-Hickorykeel-Token-Usage: 9190,52\r\n"
                                   "X-Hickorykeel-Prompt-Prefix: 5c1e0" +
                                   subject + ":6300,e4" + std::to_string(number) + "0" +
                                   std::to_string(count) + ":2890\r\n";
        const call_result got =
            asking.call(front, "POST", "/lohu930/2f", prompt, std::string(18'000, 'x'), 5'000);
        ++(got.how == outcome::answered ? counts.answered : counts.other);
        tested.record().write("stream " + got.attempt + " ended with status " +
                              std::to_string(got.status));
        sleep_ms(100);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        return 2;
    }
    fleet tested{argv[1]};
    machine_link troubled_link;
    std::atomic<int> answers = 0;
    if (has_trouble()) {
        replica& troubled = tested.engine(fleet::engines - 1);
        troubled.set_special([&](connection& peer, const message& request) {
            return now_ms() >= trouble_begins_ms && now_ms() < trouble_ends_ms &&
                   ++answers % answers_per_fault == 1 &&
                   send_endless_event(peer, request, troubled, troubled_link);
        });
    }
    tested.start_machines();
    sleep_ms(traffic_begins_ms - now_ms());
    tally bookings;
    tally streams;
    std::vector<std::thread> callers;
    run_callers(
        booking_callers, [&](int number) { tested.book(number, end_ms, bookings); }, callers);
    run_callers(
        stream_callers, [&](int number) { ask_for_streams(tested, number, streams); }, callers);
    for (std::thread& running : callers) {
        running.join();
    }
    tested.finish(bookings, "; streams answered " + std::to_string(streams.answered) + ", other " +
                                std::to_string(streams.other));
}
