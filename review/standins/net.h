#pragma once

#include <cstdint>    // uint16_t
#include <functional> // function
#include <map>        // map
#include <string>     // string

namespace review {

/// An HTTP/1.1 message. Header names are in lower case.
struct message {
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
    /// Second word of the start line: the target of a request, the status of a response.
    [[nodiscard]] std::string second_word() const;
    [[nodiscard]] std::string first_word() const;
};

/// How the attempt to read a message ended.
enum class read_result { message, closed, timed_out, broken };

/// A TCP connection with blocking calls; closed by the destructor.
class connection {
public:
    explicit connection(int socket) : m_socket{socket} {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;
    ~connection();

    /// Connects to "ip:port" within a second. Returns whether that succeeded.
    static int open(const std::string& address);

    /// Sends all bytes. Returns false if the peer has closed the connection.
    bool send(const std::string& bytes) const;

    /// Reads one message; a response without a length ends with its connection. `closed` means that
    /// the peer closed or reset the connection before the message was complete.
    read_result read(message& received, int timeout_ms);

    /// Whether any byte of an incomplete message was received.
    [[nodiscard]] bool has_partial() const { return !m_buffer.empty(); }

    [[nodiscard]] bool is_open() const { return m_socket >= 0; }
    [[nodiscard]] int socket() const { return m_socket; }

private:
    read_result fill(int timeout_ms);
    read_result read_chunks(std::string& body, int timeout_ms);

    int m_socket;
    std::string m_buffer;
};

/// Listens at "ip:port" and calls `serve` in a thread for each connection. Ends the process with 2 if
/// the address is taken.
void listen_at(const std::string& address, std::function<void(connection&)> serve);

/// Returns a response with a length.
std::string make_response(int status, const std::string& headers, const std::string& body);

std::string percent_decoded(const std::string& text);
std::string query_value(const std::string& target, const std::string& name);
std::string to_base64(const std::string& bytes);

/// Milliseconds of the steady clock since the start of the process.
long now_ms();
void sleep_ms(long duration);

/// Returns an ip of 127.0.0.0/8, without its last number, that belongs to this process.
std::string own_network();

} // namespace review
