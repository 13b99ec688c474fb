#include "connection/limit_codec.h"

namespace hickorykeel {

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

loan_request from_link(const link::loan_request& request)
{
    return {request.account(), request.tokens(), request.minimum(),
            request.configuration_revision()};
}

loan_grant from_link(const link::loan_grant& grant)
{
    return {grant.account(), grant.loan(), grant.tokens(),
            std::chrono::milliseconds{grant.term_ms()}, grant.level()};
}

loan_settle from_link(const link::loan_settle& settled)
{
    return {settled.loan(), settled.spent(), settled.returned()};
}

share_claim from_link(const link::share_claim& claim)
{
    return {claim.host_list_revision(), claim.configuration_revision()};
}

share_answer from_link(const link::share_answer& answer)
{
    share_answer message{answer.host_list_revision(),
                         answer.configuration_revision(),
                         answer.fraction(),
                         {},
                         answer.confirmed()};
    for (const link::held_share& held : answer.others()) {
        message.others.push_back({held.host(), held.incarnation(), held.fraction(),
                                  std::chrono::milliseconds{held.remaining_ms()}});
    }
    return message;
}

} // namespace hickorykeel
