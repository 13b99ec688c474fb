#include "connection/tls_settings.h"

#include <httplib.h>
#include <openssl/ssl.h> // SSL_CTX_use_certificate_chain_file and others

namespace hickorykeel {

namespace {

struct context_deleter {
    void operator()(SSL_CTX* context) const noexcept { SSL_CTX_free(context); }
};

using context_ptr = std::unique_ptr<SSL_CTX, context_deleter>;

settings_fault to_fault(const char* key, const std::string& value, const char* allowed)
{
    return {"", "tls", key, value, allowed};
}

bool load_certificate(SSL_CTX& context, const tls_settings& files)
{
    return SSL_CTX_use_certificate_chain_file(&context, files.certificate.c_str()) == 1;
}

bool load_private_key(SSL_CTX& context, const tls_settings& files)
{
    // fails if the key doesn't match the certificate loaded before
    return SSL_CTX_use_PrivateKey_file(&context, files.private_key.c_str(), SSL_FILETYPE_PEM) == 1;
}

bool set_up(SSL_CTX& context, const tls_settings& files)
{
    return SSL_CTX_set_min_proto_version(&context, TLS1_2_VERSION) == 1 &&
           load_certificate(context, files) && load_private_key(context, files);
}

void check_server_files(SSL_CTX& context, const tls_settings& files,
                        std::vector<settings_fault>& faults)
{
    if (files.certificate.empty() && files.private_key.empty()) {
        return;
    }
    if (files.certificate.empty()) {
        faults.push_back(to_fault("certificate", "", "set where private_key is"));
    }
    else if (files.private_key.empty()) {
        faults.push_back(to_fault("private_key", "", "set where certificate is"));
    }
    else if (!load_certificate(context, files)) {
        faults.push_back(to_fault("certificate", files.certificate, "a PEM file that can be read"));
    }
    else if (!load_private_key(context, files)) {
        faults.push_back(to_fault("private_key", files.private_key,
                                  "a PEM file with the key of the certificate"));
    }
}

} // namespace

tls_settings to_tls_settings(const settings& checked)
{
    return {checked.text("tls", "certificate"), checked.text("tls", "private_key"),
            checked.text("tls", "endpoint_ca")};
}

std::vector<settings_fault> check_tls(const tls_settings& files)
{
    std::vector<settings_fault> faults;
    const context_ptr context{SSL_CTX_new(TLS_method())};
    check_server_files(*context, files, faults);
    if (!files.endpoint_ca.empty() &&
        SSL_CTX_load_verify_file(context.get(), files.endpoint_ca.c_str()) != 1) {
        faults.push_back(to_fault("endpoint_ca", files.endpoint_ca, "a PEM file that can be read"));
    }
    return faults;
}

result<std::unique_ptr<httplib::Server>> to_server(const tls_settings& files)
{
    if (files.certificate.empty()) {
        return std::make_unique<httplib::Server>();
    }
    std::unique_ptr<httplib::Server> server = std::make_unique<httplib::SSLServer>(
        [&files](SSL_CTX& context) { return set_up(context, files); });
    if (!server->is_valid()) {
        return error{error_kind::settings_invalid, "load certificate", files.certificate,
                     "the certificate or its key cannot be used"};
    }
    return server;
}

void prepare_client(httplib::Client& client, const tls_settings& files)
{
    SSL_CTX* const context = client.ssl_context();
    if (context == nullptr) {
        return;
    }
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    client.enable_server_certificate_verification(true);
    if (!files.endpoint_ca.empty()) {
        client.set_ca_cert_path(files.endpoint_ca);
    }
}

} // namespace hickorykeel
