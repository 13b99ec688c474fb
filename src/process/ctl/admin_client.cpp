#include "process/ctl/admin_client.h"

#include <chrono> // seconds

#include <httplib.h>

namespace hickorykeel::ctl {

namespace {

constexpr std::chrono::seconds connect_timeout{3};
constexpr std::chrono::seconds transfer_timeout{30};

httplib::Result send(httplib::Client& client, const httplib::Headers& headers,
                     const admin_call& wanted)
{
    if (wanted.method == admin_method::get) {
        return client.Get(wanted.path, headers);
    }
    return client.Post(wanted.path, headers, wanted.body, "application/json");
}

std::string to_message(httplib::Error fault)
{
    switch (fault) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
        return "no connection";
    case httplib::Error::Read:
        return "the connection ended before the answer did, or no answer came in time";
    default:
        return httplib::to_string(fault);
    }
}

} // namespace

result<admin_answer> call(const std::string& address, const std::string& key,
                          const admin_call& wanted)
{
    const auto colon = address.rfind(':');
    httplib::Client client{address.substr(0, colon), std::stoi(address.substr(colon + 1))};
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(transfer_timeout);
    httplib::Headers headers;
    if (!key.empty()) {
        headers.emplace("Authorization", "Bearer " + key);
    }
    const auto answer = send(client, headers, wanted);
    if (!answer) {
        return error{error_kind::link_unreachable, "administer", address,
                     to_message(answer.error())};
    }
    auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (body.is_discarded()) {
        return error{error_kind::link_message_invalid, "administer", address,
                     "the answer is no JSON"};
    }
    return admin_answer{answer->status, std::move(body)};
}

std::string to_query_value(const std::string& text)
{
    return httplib::detail::encode_query_param(text);
}

} // namespace hickorykeel::ctl
