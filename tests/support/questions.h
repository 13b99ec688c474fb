#pragma once

#include "support/http_caller.h"

#include <cstddef> // size_t
#include <string>  // string
#include <utility> // move

namespace hickorykeel::tests {

/// A question to the model of the sample fleets.
[[nodiscard]] inline chat_question
make_question(std::string profile, bool is_stream,
              std::size_t output_tokens = chat_question{}.output_tokens,
              std::string text = "the alarm in the kitchen beeps once a minute")
{
    chat_question question;
    question.profile = std::move(profile);
    question.model = "assistant";
    question.text = std::move(text);
    question.output_tokens = output_tokens;
    question.is_stream = is_stream;
    return question;
}

/// A call of the service of the sample fleets.
/// @param ticket  empty: none
[[nodiscard]] inline service_question make_booking(std::string id, std::string ticket = {},
                                                   std::string profile = "booking")
{
    service_question question;
    question.profile = std::move(profile);
    question.service = "bookings";
    question.path = "visits";
    question.id = std::move(id);
    question.idempotency_key = std::move(ticket);
    return question;
}

} // namespace hickorykeel::tests
