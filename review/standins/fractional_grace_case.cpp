// The settings file changes to a grace with a fraction; then all processes are killed, and start again.

#include "fleet.h"

#include <csignal>  // SIGKILL
#include <cstdlib>  // _Exit
#include <iostream> // cout

using namespace review;

namespace {

constexpr int booking_callers = 12;
constexpr long traffic_begins_ms = 2'000;
constexpr long settings_change_ms = 9'000;
constexpr long kill_ms = 11'000;
constexpr long back_ms = kill_ms + 1'000;
constexpr long recover_ms = 12'000; // `recoverS`
constexpr long end_ms = back_ms + recover_ms + 8'000;

struct share {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
};

void book(fleet& tested, int number, share& before, share& after)
{
    caller booking{tested.place(), "booking-" + std::to_string(number)};
    for (int count = number; now_ms() < end_ms; ++count) {
        const long sent_ms = now_ms();
        const call_result got = booking.call(tested.place().front(count % fleet::machines), "POST",
                                             "/pule252/2f", "", std::string(600, 'x'), 10'000);
        const bool is_served = got.how == outcome::answered;
        if (sent_ms < kill_ms - 1'000) {
            ++before.sent;
            before.served += is_served ? 1 : 0;
        }
        else if (sent_ms >= back_ms + recover_ms) {
            ++after.sent;
            after.served += is_served ? 1 : 0;
        }
        sleep_ms(50);
    }
}

std::string to_text(const share& counted)
{
    return std::to_string(counted.served) + " of " + std::to_string(counted.sent);
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
    share before;
    share after;
    std::vector<std::thread> callers;
    run_callers(
        booking_callers, [&](int number) { book(tested, number, before, after); }, callers);
    sleep_ms(settings_change_ms - now_ms());
    for (int at = 0; at < fleet::machines && has_trouble(); ++at) {
        tested.record().write("settings of front-" + std::to_string(at) + ": grace 7.5 s");
        tested.front(at).write_settings(tested.place().settings(at, fleet::machines, "7.5"));
    }
    sleep_ms(kill_ms - now_ms());
    for (int at = 0; at < fleet::machines; ++at) {
        tested.front(at).signal(SIGKILL);
    }
    for (std::thread& running : callers) {
        running.join();
    }
    tested.stop_machines();
    const std::string summary = "served before the kill " + to_text(before) +
                                ", later than recoverS after the machines are back " +
                                to_text(after);
    tested.record().write(summary);
    std::cout << summary << std::endl;
    const bool was_served = 4 * before.served >= before.sent;
    std::_Exit(was_served && 4 * after.served < after.sent ? 1 : 0);
}
