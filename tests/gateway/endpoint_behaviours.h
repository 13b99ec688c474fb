#pragma once

#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"

#include <memory> // shared_ptr
#include <string> // string
#include <vector> // vector

namespace hickorykeel::gateway::tests {

/// Endpoint that sends complete responses and records the requests.
class recording_endpoint {
public:
    gateway_fixture::behaviour behaviour()
    {
        return [this](const std::shared_ptr<server_exchange>& request) {
            m_heads.push_back(request->head());
            m_bodies.push_back(request->body());
            request->respond(200, response_headers(), "answer");
        };
    }

    [[nodiscard]] const std::vector<message_head>& heads() const { return m_heads; }
    [[nodiscard]] const std::vector<std::string>& bodies() const { return m_bodies; }

private:
    std::vector<message_head> m_heads;
    std::vector<std::string> m_bodies;
};

inline void cut(const std::shared_ptr<server_exchange>& request)
{
    request->abort_response();
}

inline void reject(const std::shared_ptr<server_exchange>& request)
{
    header_list headers = response_headers();
    headers.add("X-Hickorykeel-Not-Executed", "1");
    request->respond(503, headers, {});
}

inline void fail(const std::shared_ptr<server_exchange>& request)
{
    request->respond(500, response_headers(), "failure");
}

inline void truncate(const std::shared_ptr<server_exchange>& request)
{
    request->begin(200, response_headers());
    request->send("ans");
    request->abort_response();
}

inline void respond_to_another(const std::shared_ptr<server_exchange>& request)
{
    request->respond(200, response_headers("0000000000000001"), "of another request");
}

inline void respond_unsealed(const std::shared_ptr<server_exchange>& request)
{
    header_list headers;
    headers.add("X-Hickorykeel-Attempt-Id", id);
    request->respond(200, headers, "not sealed");
}

/// Refuses as another host does that an endpoint has rejected: the request has not run.
inline void refuse_as_host(const std::shared_ptr<server_exchange>& request,
                           const std::string& refused_id = id)
{
    header_list headers;
    headers.add(std::string{refusal_header}, "overloaded");
    headers.add(std::string{refused_id_header}, refused_id);
    headers.add(std::string{ran_header}, "no");
    headers.add(std::string{reached_header}, "yes");
    request->respond(503, headers, {});
}

} // namespace hickorykeel::gateway::tests
