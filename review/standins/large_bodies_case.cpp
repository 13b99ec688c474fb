// Many callers send bodies of the largest size that the configuration allows, while others book.

#include "fleet.h"

using namespace review;

namespace {

constexpr int booking_callers = 12;
constexpr int upload_callers = 72; // with the others fewer than the 86 clients of the site
constexpr std::size_t body_limit = 4'194'304; // `bodyBytes` of the configuration
constexpr long traffic_begins_ms = 2'000;
constexpr long trouble_begins_ms = 9'000;
constexpr long trouble_ends_ms = trouble_begins_ms + 10'000;
constexpr long end_ms = 26'000;

void upload(fleet& tested, int number, machine_link& used, tally& counts)
{
    caller asking{tested.place(), "upload-" + std::to_string(number)};
    asking.set_link(used);
    const std::string front = tested.place().front(number % fleet::machines);
    sleep_ms(trouble_begins_ms - now_ms());
    const std::string body(body_limit, 'u');
    while (now_ms() < trouble_ends_ms) {
        const call_result got = asking.call(front, "POST", "/pule252/2f", "", body, 10'000);
        ++(got.how == outcome::answered ? counts.answered : counts.other);
        tested.record().write("upload " + got.attempt + " ended with status " +
                              std::to_string(got.status));
        sleep_ms(1'000);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        return 2;
    }
    fleet tested{argv[1]};
    tested.start_machines();
    sleep_ms(traffic_begins_ms - now_ms());
    tally bookings;
    tally uploads;
    std::vector<machine_link> links(fleet::machines);
    std::vector<std::thread> callers;
    run_callers(
        booking_callers, [&](int number) { tested.book(number, end_ms, bookings); }, callers);
    run_callers(
        has_trouble() ? upload_callers : 0,
        [&](int number) {
            upload(tested, number, links[static_cast<std::size_t>(number % fleet::machines)],
                   uploads);
        },
        callers);
    for (std::thread& running : callers) {
        running.join();
    }
    tested.finish(bookings, "; uploads answered " + std::to_string(uploads.answered) + ", other " +
                                std::to_string(uploads.other));
}
