#include "connection/refusal_json.h"

#include <nlohmann/json.hpp>

namespace hickorykeel {

std::string to_json(const refusal& why)
{
    const nlohmann::json body{{"error",
                               {{"code", to_kind(why.code).name},
                                {"step", why.step},
                                {"peer", why.peer},
                                {"message", why.message},
                                {"ran", to_name(why.ran)},
                                {"retry_after_ms", why.retry_after.count()}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string to_error_event(const refusal& why)
{
    return "event: error\ndata: " + to_json(why) + "\n\n";
}

} // namespace hickorykeel
