#include "fleet.h"

#include <cstdlib>  // _Exit
#include <iostream> // cerr, cout

namespace review {

namespace {

constexpr int exit_not_run = 2;
constexpr int allowed_cuts = 3;     // LOST is broken by more than three
constexpr int allowed_own_ends = 2; // of one machine; the rules count three as a fault
constexpr int engine_addresses = 10;

} // namespace

fleet::fleet(const std::string& record_path)
    : m_record{record_path}, m_store{m_deployment.store_address()}
{
    now_ms();
    m_store.put("op/config", m_deployment.configuration());
    std::vector<replica*> all;
    for (int at = 0; at < desks; ++at) {
        m_desks.push_back(
            std::make_unique<replica>(replica_options{.id = "i-desk-" + std::to_string(at),
                                                      .service = "wuno96b",
                                                      .zone = m_deployment.zone,
                                                      .address = m_deployment.replica_address(at)},
                                      m_record));
        all.push_back(m_desks.back().get());
    }
    for (int at = 0; at < engines; ++at) {
        m_engines.push_back(std::make_unique<replica>(
            replica_options{.id = "i-assist-" + std::to_string(at),
                            .service = "huvo11a",
                            .zone = m_deployment.zone,
                            .address = m_deployment.replica_address(engine_addresses + at),
                            .slots = 48,
                            .is_engine = true},
            m_record));
        all.push_back(m_engines.back().get());
    }
    keep_beating(m_store, all);
    for (int at = 0; at < machines; ++at) {
        m_fronts.push_back(std::make_unique<machine>("front-" + std::to_string(at),
                                                     m_deployment.settings(at, machines, "8"),
                                                     memory_mb, m_record));
    }
}

void fleet::start_machines()
{
    for (const auto& front : m_fronts) {
        front->start();
    }
    for (int at = 0; at < machines; ++at) {
        if (!wait_until_ready(m_deployment, at)) {
            std::cerr << "the system isn't ready\n";
            stop_machines();
            std::_Exit(exit_not_run);
        }
    }
}

void fleet::book(int number, long end_ms, tally& counts)
{
    caller booking{m_deployment, "booking-" + std::to_string(number)};
    const std::string front = m_deployment.front(number % machines);
    while (now_ms() < end_ms) {
        const call_result got =
            booking.call(front, "POST", "/pule252/2f", "", std::string(600, 'x'), 10'000);
        if (got.how == outcome::answered) {
            ++counts.answered;
            continue;
        }
        bool has_run = false;
        for (const auto& desk : m_desks) {
            has_run = has_run || (desk->is_sound() && desk->has_run(got.attempt));
        }
        if (got.how == outcome::cut && got.was_kept && has_run) {
            ++counts.unanswered;
            m_record.write("closed without an answer: " + got.attempt + ", which ran");
        }
        else {
            ++counts.other;
        }
        sleep_ms(200);
    }
}

void fleet::finish(const tally& bookings, const std::string& remarks)
{
    int faulty_machines = 0;
    int own_ends = 0;
    for (const auto& front : m_fronts) {
        front->stop();
        own_ends += front->own_ends();
        faulty_machines += front->own_ends() > allowed_own_ends ? 1 : 0;
        m_record.write(front->name() + ": peak " + std::to_string(front->peak_kb()) +
                       " kB, ended " + std::to_string(front->own_ends()) + " times by itself");
    }
    const std::string summary = "bookings answered " + std::to_string(bookings.answered) +
                                ", run and closed without an answer " +
                                std::to_string(bookings.unanswered) + ", other " +
                                std::to_string(bookings.other) + "; own ends of processes " +
                                std::to_string(own_ends) + remarks;
    m_record.write(summary);
    std::cout << summary << std::endl;
    stop_machines();
    const bool is_broken = bookings.unanswered > allowed_cuts || faulty_machines >= machines;
    std::_Exit(is_broken ? 1 : 0);
}

void run_callers(int count, const std::function<void(int)>& work, std::vector<std::thread>& threads)
{
    for (int number = 0; number < count; ++number) {
        threads.emplace_back([work, number] { work(number); });
    }
}

} // namespace review
