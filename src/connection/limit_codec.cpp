#include "connection/limit_codec.h"

#include <algorithm>        // all_of
#include <cmath>            // isfinite
#include <initializer_list> // initializer_list

namespace hickorykeel {

namespace {

// rounding errors may lift sums of shares above 1
constexpr double rounding_tolerance = 1e-6;

bool are_finite(std::initializer_list<double> numbers)
{
    return std::all_of(numbers.begin(), numbers.end(),
                       [](double number) { return std::isfinite(number); });
}

// false for NaN
bool is_fraction(double number)
{
    return number >= 0 && number <= 1 + rounding_tolerance;
}

error invalid_number()
{
    return {error_kind::link_message_invalid, "read limits", "",
            "a number is not finite, or a fraction is not between 0 and 1"};
}

} // namespace

link::loan_request to_link(const loan_request& request)
{
    link::loan_request message;
    message.set_account(request.account);
    message.set_tokens(request.tokens);
    message.set_minimum(request.minimum);
    message.set_configuration_revision(request.configuration_revision);
    return message;
}

link::loan_grant to_link(const loan_grant& grant)
{
    link::loan_grant message;
    message.set_account(grant.account);
    message.set_loan(grant.loan);
    message.set_tokens(grant.tokens);
    message.set_term_ms(static_cast<std::uint32_t>(grant.term.count()));
    message.set_level(grant.level);
    return message;
}

link::loan_settle to_link(const loan_settle& settled)
{
    link::loan_settle message;
    message.set_loan(settled.loan);
    message.set_spent(settled.spent);
    message.set_returned(settled.returned);
    return message;
}

link::share_claim to_link(const share_claim& claim)
{
    link::share_claim message;
    message.set_host_list_revision(claim.host_list_revision);
    message.set_configuration_revision(claim.configuration_revision);
    return message;
}

link::share_answer to_link(const share_answer& answer)
{
    link::share_answer message;
    message.set_host_list_revision(answer.host_list_revision);
    message.set_configuration_revision(answer.configuration_revision);
    message.set_fraction(answer.fraction);
    message.set_confirmed(answer.is_confirmed);
    for (const held_share& held : answer.others) {
        link::held_share& copy = *message.add_others();
        copy.set_host(held.host);
        copy.set_incarnation(held.incarnation);
        copy.set_fraction(held.fraction);
        copy.set_remaining_ms(static_cast<std::uint32_t>(held.remaining.count()));
    }
    return message;
}

result<loan_request> from_link(const link::loan_request& request)
{
    if (!are_finite({request.tokens(), request.minimum()})) {
        return invalid_number();
    }
    return loan_request{request.account(), request.tokens(), request.minimum(),
                        request.configuration_revision()};
}

result<loan_grant> from_link(const link::loan_grant& grant)
{
    if (!are_finite({grant.tokens(), grant.level()})) {
        return invalid_number();
    }
    return loan_grant{grant.account(), grant.loan(), grant.tokens(),
                      std::chrono::milliseconds{grant.term_ms()}, grant.level()};
}

result<loan_settle> from_link(const link::loan_settle& settled)
{
    if (!are_finite({settled.spent(), settled.returned()})) {
        return invalid_number();
    }
    return loan_settle{settled.loan(), settled.spent(), settled.returned()};
}

share_claim from_link(const link::share_claim& claim)
{
    return {claim.host_list_revision(), claim.configuration_revision()};
}

result<share_answer> from_link(const link::share_answer& answer)
{
    if (!is_fraction(answer.fraction())) {
        return invalid_number();
    }
    share_answer message{answer.host_list_revision(),
                         answer.configuration_revision(),
                         answer.fraction(),
                         {},
                         answer.confirmed()};
    for (const link::held_share& held : answer.others()) {
        if (!is_fraction(held.fraction())) {
            return invalid_number();
        }
        message.others.push_back({held.host(), held.incarnation(), held.fraction(),
                                  std::chrono::milliseconds{held.remaining_ms()}});
    }
    return message;
}

} // namespace hickorykeel
