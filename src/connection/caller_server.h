#pragma once

#include <cstddef> // size_t

#include <httplib.h>

namespace hickorykeel {

/// HTTP server whose handlers can tell whether the caller is still connected, also before the
/// response has begun; with the library's own server they can't.
///
/// Thread safety: as httplib::Server.
class caller_server final : public httplib::Server {
public:
    /// Socket of the caller whose request this thread serves; valid until the handler and the content
    /// provider that it installed have returned. -1 outside of them.
    [[nodiscard]] static int current_socket() noexcept;

    /// Sets the maximum number of requests on one connection. Call before the server listens.
    void set_requests_per_connection(std::size_t count) { keep_alive_max_count_ = count; }

private:
    bool process_and_close_socket(socket_t socket) override;
};

/// Whether the peer of `socket` may still read: false once it has closed, half-closed or reset the
/// connection. On Linux unread bytes do not hide that. Never blocks; thread safe.
[[nodiscard]] bool is_peer_connected(int socket) noexcept;

} // namespace hickorykeel
