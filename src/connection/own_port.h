#pragma once

namespace httplib {
class Server;
} // namespace httplib

namespace hickorykeel {

/// Has `server` bind its port alone, so that a second bind fails; the library lets two processes
/// share a port unnoticed (SO_REUSEPORT). Call before the bind. Thread safe.
void own_port(httplib::Server& server);

} // namespace hickorykeel
