#include "support/child_process.h"

#include "support/paths.h"
#include "support/wait_for.h"

#include <array>      // array
#include <csignal>    // kill, SIGTERM
#include <cstdlib>    // mkstemp
#include <filesystem> // temp_directory_path
#include <utility>    // move

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hickorykeel::tests {

namespace detail {

constexpr int signal_exit_base = 128;

/// Descriptor of a new temporary file without a name.
int open_unnamed_file()
{
    std::string path = std::filesystem::temp_directory_path() / "hickorykeel-output-XXXXXX";
    const int file = ::mkstemp(path.data());
    ::unlink(path.c_str());
    return file;
}

std::string read_file(int file)
{
    constexpr std::size_t chunk = 65'536;
    std::array<char, chunk> buffer{};
    std::string text;
    for (;;) {
        const ssize_t n = ::pread(file, buffer.data(), chunk, static_cast<off_t>(text.size()));
        if (n <= 0) {
            return text;
        }
        text.append(buffer.data(), static_cast<std::size_t>(n));
    }
}

std::vector<std::string> prepend(std::string first, std::vector<std::string> others)
{
    others.insert(others.begin(), std::move(first));
    return others;
}

} // namespace detail

child_process::child_process(const std::string& name, std::vector<std::string> arguments)
    : child_process(detail::prepend(program_path(name), std::move(arguments)))
{
}

child_process::child_process(std::vector<std::string> command)
    : m_output(detail::open_unnamed_file()), m_errors(detail::open_unnamed_file())
{
    std::vector<char*> words;
    words.reserve(command.size() + 1);
    for (std::string& word : command) {
        words.push_back(word.data());
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, m_output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, m_errors, STDERR_FILENO);
    if (::posix_spawnp(&m_id, words.front(), &actions, nullptr, words.data(), environ) != 0) {
        m_id = 0;
        m_exit_code = detail::signal_exit_base - 1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process()
{
    kill();
    ::close(m_output);
    ::close(m_errors);
}

pid_t child_process::id() const noexcept
{
    return m_id;
}

bool child_process::wait_until_listening()
{
    const auto is_listening = [this] {
        const std::string text = output();
        const auto line = text.find("listening ");
        return line != std::string::npos && text.find('\n', line) != std::string::npos;
    };
    wait_for([&] { return is_listening() || exit_code().has_value(); });
    return is_listening() && !exit_code().has_value();
}

std::optional<int> child_process::exit_code()
{
    int status = 0;
    if (!m_exit_code && ::waitpid(m_id, &status, WNOHANG) == m_id) {
        m_exit_code =
            WIFEXITED(status) ? WEXITSTATUS(status) : detail::signal_exit_base + WTERMSIG(status);
    }
    return m_exit_code;
}

std::optional<int> child_process::wait_for_exit(duration limit)
{
    wait_for([this] { return exit_code().has_value(); }, limit);
    return exit_code();
}

std::string child_process::output() const
{
    return detail::read_file(m_output);
}

std::string child_process::errors() const
{
    return detail::read_file(m_errors);
}

void child_process::terminate()
{
    signal(SIGTERM);
}

void child_process::hang_up()
{
    signal(SIGHUP);
}

void child_process::kill()
{
    signal(SIGKILL);
    wait_for_exit();
}

void child_process::freeze()
{
    signal(SIGSTOP);
}

void child_process::thaw()
{
    signal(SIGCONT);
}

void child_process::signal(int number)
{
    // a process that was waited for may have given its identifier to another one
    if (!exit_code()) {
        ::kill(m_id, number);
    }
}

} // namespace hickorykeel::tests
