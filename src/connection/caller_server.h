#pragma once

#include <cstddef> // size_t

#include <httplib.h>

namespace hickorykeel {

/// HTTP server that tells its handlers whether the caller is still connected, also before an answer
/// has begun; the library's own server does not.
///
/// Thread safety: as httplib::Server.
class caller_server final : public httplib::Server {
public:
    /// Socket of the caller whose request this thread serves; valid until its handler, and the
    /// content provider that it left, have returned. -1 outside of them.
    [[nodiscard]] static int current_socket() noexcept;

    /// Largest number of requests on one connection; call it before the server listens.
    void set_requests_per_connection(std::size_t count) { keep_alive_max_count_ = count; }

private:
    bool process_and_close_socket(socket_t socket) override;
};

/// Whether the other end of `socket` may still read: false once it closed or reset the connection,
/// or ended its own direction. Unread bytes do not hide that on Linux. Never blocks; thread safe.
[[nodiscard]] bool is_peer_connected(int socket) noexcept;

} // namespace hickorykeel
