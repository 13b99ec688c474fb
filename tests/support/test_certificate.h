#pragma once

#include "support/scratch_file.h"

#include <memory> // unique_ptr
#include <string> // string

namespace hickorykeel::tests {

/// A self-signed certificate for an IP of the loopback and its key, in files that are removed with it.
class test_certificate {
public:
    explicit test_certificate(const std::string& ip = "127.0.0.1");

    [[nodiscard]] const std::string& certificate_path() const { return m_certificate->path(); }
    [[nodiscard]] const std::string& key_path() const { return m_key->path(); }

private:
    std::unique_ptr<scratch_file> m_certificate;
    std::unique_ptr<scratch_file> m_key;
};

} // namespace hickorykeel::tests
