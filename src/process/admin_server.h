#pragma once

#include "process/error.h"
#include "process/metrics.h"

#include <array>      // array
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <string>     // string
#include <vector>     // vector

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// A call to a route of administration, after its key was checked.
struct admin_request {
    std::map<std::string, std::string> parameters; ///< of the query; of several the last
    std::string body;
};

/// Answer of a route.
struct admin_answer {
    int status = 200;
    nlohmann::json body;
};

/// Answer that tells a fault, in the shape of all refusals.
/// @param code stable word for programs
[[nodiscard]] admin_answer to_admin_fault(int status, const std::string& code,
                                          const std::string& message);

enum class admin_method { get, post };

/// One row of a program's table of administration.
struct admin_route {
    admin_method method;
    std::string path; ///< "/admin/v1/status"
    std::function<admin_answer(const admin_request&)> handle;
};

/// One call of administration.
struct known_admin_call {
    admin_method method;
    const char* path;
};

inline constexpr known_admin_call status_call{admin_method::get, "/admin/v1/status"};
inline constexpr known_admin_call hosts_call{admin_method::get, "/admin/v1/hosts"};
inline constexpr known_admin_call limits_call{admin_method::get, "/admin/v1/limits"};
inline constexpr known_admin_call explain_call{admin_method::get, "/admin/v1/explain"};
inline constexpr known_admin_call drain_call{admin_method::post, "/admin/v1/drain"};
inline constexpr known_admin_call validate_call{admin_method::post, "/admin/v1/validate"};

/// All calls that some program serves, as docs/API.md describes them.
inline constexpr std::array admin_calls{status_call,  hosts_call, limits_call,
                                        explain_call, drain_call, validate_call};

/// Serves health, metrics and administration of one process on a thread of its own.
///
/// Every path below `/admin` needs `Authorization: Bearer <key>`: 401 without the right key, 403
/// where no key is set.
///
/// Thread safety: routes and callbacks are called from the server's threads, several at a time.
class admin_server {
public:
    struct options {
        std::string listen;                ///< "ip:port"; port 0: any free one
        std::string key_digest;            ///< hex SHA-256 of the key; empty: /admin answers 403
        std::vector<admin_route> routes;   ///< of /admin
        std::function<bool()> is_healthy;  ///< /healthz; empty: always
        std::function<bool()> is_ready;    ///< /readyz; empty: always
        const metrics* registry = nullptr; ///< /metrics; outlives the server
    };

    /// Binds and starts.
    /// @return link_unreachable where the address cannot be bound
    static result<std::unique_ptr<admin_server>> open(options chosen);

    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    admin_server(admin_server&&) = delete;
    admin_server& operator=(admin_server&&) = delete;

    /// Answers the calls that have begun, then ends.
    ~admin_server();

    /// Port that it listens on. Thread safe.
    [[nodiscard]] int port() const noexcept;

private:
    struct state;
    explicit admin_server(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace hickorykeel
