#pragma once

#include <cstdlib>     // mkstemp
#include <filesystem>  // temp_directory_path
#include <fstream>     // ofstream
#include <string>      // string
#include <string_view> // string_view

#include <unistd.h> // close, unlink

namespace hickorykeel::tests {

/// A file with some content that is removed at the end of its life.
class scratch_file {
public:
    explicit scratch_file(std::string_view content)
    {
        std::string pattern = std::filesystem::temp_directory_path() / "hickorykeel-test-XXXXXX";
        const int descriptor = mkstemp(pattern.data());
        close(descriptor);
        m_path = pattern;
        std::ofstream{m_path} << content;
    }

    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;
    scratch_file(scratch_file&&) = delete;
    scratch_file& operator=(scratch_file&&) = delete;

    ~scratch_file() { unlink(m_path.c_str()); }

    [[nodiscard]] const std::string& path() const noexcept { return m_path; }

private:
    std::string m_path;
};

} // namespace hickorykeel::tests
