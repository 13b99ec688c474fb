#pragma once

#include "standins/http_caller.h"

namespace hickorykeel::tests {

using standins::chat_question;
using standins::http_caller;
using standins::outcome;
using standins::outcome_kind;
using standins::service_question;

} // namespace hickorykeel::tests
