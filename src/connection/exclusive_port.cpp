#include "connection/exclusive_port.h"

#include <httplib.h>
#include <sys/socket.h> // setsockopt

namespace hickorykeel {

void require_exclusive_port(httplib::Server& server)
{
    server.set_socket_options([](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    });
}

} // namespace hickorykeel
