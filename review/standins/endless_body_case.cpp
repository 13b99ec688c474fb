// One replica of a plain service answers with a body that has no end, while callers book.

#include "fleet.h"

using namespace review;

namespace {

constexpr int booking_callers = 40; // more than one replica takes
constexpr int lookup_callers = 24;
constexpr long traffic_begins_ms = 2'000;
constexpr long trouble_begins_ms = 9'000;
constexpr long trouble_ends_ms = trouble_begins_ms + 6'500;
constexpr long end_ms = 24'000;
constexpr int faults_per_hundred = 45; // of the answers, as `srv_grey` in the site file

/// Answers with a head and then a body without an end, until the caller closes.
bool send_endless_body(connection& peer, const message& request, const replica& sender,
                       machine_link& used)
{
    const std::string block(65'536, 'b');
    bool is_open = peer.send("HTTP/1.1 200 OK\r\n" + sender.answer_headers(request) + "\r\n");
    while (is_open) {
        used.pass(block.size());
        is_open = peer.send(block);
    }
    return true;
}

void look_up(fleet& tested, int number, tally& counts)
{
    caller asking{tested.place(), "lookup-" + std::to_string(number)};
    const std::string front = tested.place().front(number % fleet::machines);
    while (now_ms() < end_ms) {
        const call_result got = asking.call(front, "GET", "/puxa403/2f", "", "", 10'000);
        ++(got.how == outcome::answered ? counts.answered : counts.other);
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
        replica& troubled = tested.desk(fleet::desks - 1);
        troubled.set_special([&](connection& peer, const message& request) {
            return now_ms() >= trouble_begins_ms && now_ms() < trouble_ends_ms &&
                   ++answers * faults_per_hundred % 100 < faults_per_hundred &&
                   send_endless_body(peer, request, troubled, troubled_link);
        });
    }
    tested.start_machines();
    sleep_ms(traffic_begins_ms - now_ms());
    tally bookings;
    tally lookups;
    std::vector<std::thread> callers;
    run_callers(
        booking_callers, [&](int number) { tested.book(number, end_ms, bookings); }, callers);
    run_callers(
        lookup_callers, [&](int number) { look_up(tested, number, lookups); }, callers);
    for (std::thread& running : callers) {
        running.join();
    }
    tested.finish(bookings, "; look-ups answered " + std::to_string(lookups.answered) + ", other " +
                                std::to_string(lookups.other));
}
