#include "connection/limit_codec.h"
#include "connection/sync_codec.h"
#include "generated/link.pb.h"
#include "support/fuzz_targets.h"
#include "support/published.h"

#include <string>  // string
#include <variant> // get, get_if

#include <google/protobuf/stubs/logging.h> // LogSilencer

namespace hickorykeel::tests {

namespace {

constexpr time_point now{std::chrono::seconds{100}};

/// A conversion there and back says the same.
template <typename Message>
void check_round_trip(const Message& message)
{
    const auto read = from_link(message);
    if (const auto* why = std::get_if<error>(&read)) {
        hold(why->kind == error_kind::link_message_invalid && !why->step.empty(),
             "a refused message gives its error and step");
        return;
    }
    const auto once = to_link(std::get<0>(read));
    Message known = message;
    known.DiscardUnknownFields();
    hold(known.SerializeAsString() == once.SerializeAsString(),
         "a message of the limiter loses nothing");
}

void check_claim(const link::share_claim& claim)
{
    link::share_claim known = claim;
    known.DiscardUnknownFields();
    hold(known.SerializeAsString() == to_link(from_link(claim)).SerializeAsString(),
         "a claim loses nothing");
}

replica make_replica()
{
    replica held;
    entries_update whole{0, 2, {}};
    const auto object = published_example();
    for (const auto& [key, value] : object.items()) {
        whole.entries.push_back({key, value, false, 1});
    }
    held.apply(whole);
    held.apply(hosts_update{2, nlohmann::json::array()});
    return held;
}

void check_relayed(const replica& held)
{
    replica receiver;
    apply_update(receiver, make_update(held, make_request(receiver), now));
    hold(receiver.revision() == held.revision() && receiver.entries() == held.entries(),
         "what is held arrives the same at a peer");
    hold(receiver.published_hosts().hosts == held.published_hosts().hosts,
         "the list of hosts arrives the same at a peer");
}

void check_update(replica held, const link::sync_update& update)
{
    const auto before = held;
    const auto outcome = apply_update(held, update);
    const bool is_taken =
        outcome.entries == update_outcome::accepted || outcome.entries == update_outcome::refused;
    if (is_taken) {
        hold(held.revision() > before.revision(), "what is taken is newer");
        check_relayed(held);
    }
    else {
        hold(held.revision() == before.revision() && held.entries() == before.entries(),
             "what isn't taken changes nothing");
    }
    hold(outcome.entries == update_outcome::accepted || held.in_force() == before.in_force(),
         "only what is accepted is in force");
    hold(outcome.hosts == update_outcome::accepted || held.hosts() == before.hosts(),
         "only an accepted list is in force");
}

void check_body(const link::envelope& message)
{
    switch (message.body_case()) {
    case link::envelope::kLoanRequest:
        return check_round_trip(message.loan_request());
    case link::envelope::kLoanGrant:
        return check_round_trip(message.loan_grant());
    case link::envelope::kLoanSettle:
        return check_round_trip(message.loan_settle());
    case link::envelope::kShareClaim:
        return check_claim(message.share_claim());
    case link::envelope::kShareAnswer:
        return check_round_trip(message.share_answer());
    case link::envelope::kSyncUpdate:
        check_update({}, message.sync_update());
        return check_update(make_replica(), message.sync_update());
    case link::envelope::kSyncRequest:
        static_cast<void>(make_update(make_replica(), message.sync_request(), now));
        return;
    default:
        return;
    }
}

} // namespace

int fuzz_link(const std::uint8_t* data, std::size_t size)
{
    // the library writes a line for each text that isn't UTF-8
    const google::protobuf::LogSilencer silencer;
    link::envelope message;
    if (!message.ParseFromArray(data, static_cast<int>(size))) {
        return 0;
    }
    const auto bytes = message.SerializeAsString();
    link::envelope again;
    hold(again.ParseFromString(bytes) && again.SerializeAsString() == bytes,
         "an envelope written again says the same");
    check_body(message);
    return 0;
}

} // namespace hickorykeel::tests
