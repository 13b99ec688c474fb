#include "process/admin_server.h"

#include "connection/exclusive_port.h"
#include "version/check.h"

#include <algorithm>   // find_if
#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <string_view> // string_view
#include <thread>      // thread, sleep_for
#include <utility>     // move

#include <httplib.h>
#include <openssl/crypto.h> // CRYPTO_memcmp

namespace hickorykeel {

namespace {

constexpr std::size_t admin_threads = 4;
constexpr std::size_t maximum_body = std::size_t{64} << 20U; // bytes: a whole published state
constexpr std::chrono::seconds transfer_timeout{10};
constexpr std::chrono::milliseconds start_poll{1};

constexpr std::string_view bearer = "Bearer ";

/// Compares digests in constant time.
bool is_key(std::string_view header, const std::string& expected_digest)
{
    if (header.substr(0, bearer.size()) != bearer) {
        return false;
    }
    const auto digest = to_key_digest(std::string{header.substr(bearer.size())});
    return digest.size() == expected_digest.size() &&
           CRYPTO_memcmp(digest.data(), expected_digest.data(), digest.size()) == 0;
}

bool is_admin_path(std::string_view path)
{
    return path == "/admin" || path.substr(0, 7) == "/admin/";
}

void put(httplib::Response& response, const admin_answer& answer)
{
    response.status = answer.status;
    response.set_content(answer.body.dump(), "application/json");
}

admin_request to_request(const httplib::Request& request)
{
    admin_request taken;
    for (const auto& [name, value] : request.params) {
        taken.parameters[name] = value;
    }
    taken.body = request.body;
    return taken;
}

httplib::Server::Handler to_handler(std::function<admin_answer(const admin_request&)> handle)
{
    return [handle = std::move(handle)](const auto& request, auto& response) {
        put(response, handle(to_request(request)));
    };
}

httplib::Server::Handler to_probe(const std::string& name, std::function<bool()> ask)
{
    return [name, ask = std::move(ask)](const auto&, auto& response) {
        const bool is_so = !ask || ask();
        put(response, {is_so ? 200 : 503, {{name, is_so}}});
    };
}

} // namespace

admin_answer to_admin_fault(int status, const std::string& code, const std::string& message)
{
    return {status,
            {{"error",
              {{"code", code},
               {"step", "administer"},
               {"peer", ""},
               {"message", message},
               {"ran", "no"},
               {"retry_after_ms", 0}}}}};
}

struct admin_server::state {
    options chosen;
    httplib::Server server;
    std::thread thread;
    int port = 0;

    void build()
    {
        server.new_task_queue = [] { return new httplib::ThreadPool(admin_threads); };
        require_exclusive_port(server);
        // an idle connection would hold one of the few threads
        server.set_keep_alive_max_count(1);
        server.set_payload_max_length(maximum_body);
        server.set_read_timeout(transfer_timeout);
        server.set_write_timeout(transfer_timeout);
        add_probes();
        add_routes();
        add_faults();
    }

    void add_probes()
    {
        server.Get("/healthz", to_probe("healthy", chosen.is_healthy));
        server.Get("/readyz", to_probe("ready", chosen.is_ready));
        if (chosen.registry == nullptr) {
            return;
        }
        server.Get("/metrics", [registry = chosen.registry](const auto&, auto& response) {
            response.set_content(registry->to_text(), "text/plain; version=0.0.4");
        });
    }

    void add_routes()
    {
        server.set_pre_routing_handler([this](const auto& request, auto& response) {
            const bool is_answered =
                !is_admitted(request, response) || answer_bodiless(request, response);
            return is_answered ? httplib::Server::HandlerResponse::Handled
                               : httplib::Server::HandlerResponse::Unhandled;
        });
        for (const auto& route : chosen.routes) {
            if (route.method == admin_method::get) {
                server.Get(route.path, to_handler(route.handle));
            }
            else {
                server.Post(route.path, to_handler(route.handle));
            }
        }
    }

    bool is_admitted(const httplib::Request& request, httplib::Response& response) const
    {
        if (!is_admin_path(request.path)) {
            return true;
        }
        if (chosen.key_digest.empty()) {
            put(response,
                to_admin_fault(403, "administration_off", "no administration key is set"));
            return false;
        }
        if (!is_key(request.get_header_value("Authorization"), chosen.key_digest)) {
            put(response, to_admin_fault(401, "unauthorised", "not the administration key"));
            return false;
        }
        return true;
    }

    // without a length there is no body (RFC 9112, section 6.3); the library would wait for one
    bool answer_bodiless(const httplib::Request& request, httplib::Response& response) const
    {
        if (request.method != "POST" || request.has_header("Content-Length") ||
            request.has_header("Transfer-Encoding")) {
            return false;
        }
        const auto route =
            std::find_if(chosen.routes.begin(), chosen.routes.end(), [&](const admin_route& each) {
                return each.method == admin_method::post && each.path == request.path;
            });
        put(response, route == chosen.routes.end()
                          ? to_admin_fault(404, "not_found", "no such path")
                          : route->handle(to_request(request)));
        return true;
    }

    void add_faults()
    {
        server.set_exception_handler([](const auto&, auto& response, const auto&) {
            put(response, to_admin_fault(500, "internal", "the handler failed"));
        });
        server.set_error_handler([](const httplib::Request&, httplib::Response& response) {
            if (response.body.empty()) {
                const bool is_unknown = response.status == 404;
                put(response,
                    to_admin_fault(response.status, is_unknown ? "not_found" : "bad_request",
                                   is_unknown ? "no such path" : "not a proper call"));
            }
        });
    }

    bool bind()
    {
        const auto colon = chosen.listen.rfind(':');
        const auto ip = chosen.listen.substr(0, colon);
        const int wanted = std::stoi(chosen.listen.substr(colon + 1));
        if (wanted == 0) {
            port = server.bind_to_any_port(ip);
            return port > 0;
        }
        port = wanted;
        return server.bind_to_port(ip, wanted);
    }

    void start()
    {
        thread = std::thread{[this] { server.listen_after_bind(); }};
        // `stop` is lost on a server that does not run yet
        while (!server.is_running()) {
            std::this_thread::sleep_for(start_poll);
        }
    }
};

result<std::unique_ptr<admin_server>> admin_server::open(options chosen)
{
    auto owned = std::make_unique<state>();
    owned->chosen = std::move(chosen);
    owned->build();
    if (!owned->bind()) {
        return error{error_kind::link_unreachable, "listen", owned->chosen.listen,
                     "the address cannot be bound"};
    }
    owned->start();
    return std::unique_ptr<admin_server>{new admin_server{std::move(owned)}};
}

admin_server::admin_server(std::unique_ptr<state> owned) : m_state{std::move(owned)} {}

admin_server::~admin_server()
{
    m_state->server.stop();
    m_state->thread.join();
}

int admin_server::port() const noexcept
{
    return m_state->port;
}

} // namespace hickorykeel
