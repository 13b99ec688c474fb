#pragma once

#include "process/clock.h"

#include <chrono>   // seconds
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <sys/types.h>

namespace hickorykeel::tests {

/// A started program of the build. Ends only the process that it started itself.
///
/// Thread safety: one thread uses it.
class child_process {
public:
    /// Starts `name` of the build with `arguments`; its output goes to unnamed temporary files.
    child_process(const std::string& name, std::vector<std::string> arguments);

    /// Starts a program of the machine, found by PATH, in the same way.
    /// @param command  its name or path, and its arguments; not empty
    explicit child_process(std::vector<std::string> command);

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Kills the process where it still runs.
    ~child_process();

    /// @name observers
    /// @{

    /// Process identifier; 0 where the program could not be started.
    [[nodiscard]] pid_t id() const noexcept;

    /// Waits for the line "listening <address>" on standard output.
    /// @return false where the process ended before it, or after 60 s
    [[nodiscard]] bool wait_until_listening();

    /// Exit code once the process has ended: 128 + n where signal n ended it.
    [[nodiscard]] std::optional<int> exit_code();

    /// Waits at most `limit` for the end.
    std::optional<int> wait_for_exit(duration limit = std::chrono::seconds{60});

    /// Everything on standard output, and on standard error, so far.
    [[nodiscard]] std::string output() const;
    [[nodiscard]] std::string errors() const;

    /// @}
    /// @name signals
    /// @{
    void terminate(); ///< SIGTERM
    void hang_up();   ///< SIGHUP
    void kill();      ///< SIGKILL, and waits for the end
    void freeze();    ///< SIGSTOP
    void thaw();      ///< SIGCONT
    /// @}

private:
    void signal(int number);

    pid_t m_id = 0;
    int m_output = -1; // file descriptors
    int m_errors = -1;
    std::optional<int> m_exit_code;
};

} // namespace hickorykeel::tests
