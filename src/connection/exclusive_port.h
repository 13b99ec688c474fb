#pragma once

namespace httplib {
class Server;
} // namespace httplib

namespace hickorykeel {

/// Makes `server` bind its port exclusively, so that a second bind fails. By default the library
/// sets SO_REUSEPORT, with which two processes share a port unnoticed. Call before the bind. Thread
/// safe.
void require_exclusive_port(httplib::Server& server);

} // namespace hickorykeel
