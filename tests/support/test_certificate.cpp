#include "support/test_certificate.h"

#include <openssl/bio.h>    // BIO
#include <openssl/evp.h>    // EVP_EC_gen
#include <openssl/pem.h>    // PEM_write_bio_X509
#include <openssl/x509.h>   // X509
#include <openssl/x509v3.h> // X509V3_EXT_conf_nid

namespace hickorykeel::tests {
namespace {

constexpr long lifetime = 3600; // seconds
constexpr long version_3 = 2;

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using output_ptr = std::unique_ptr<BIO, decltype(&BIO_free)>;

void add_extension(X509* certificate, int kind, const char* value)
{
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

certificate_ptr make_certificate(EVP_PKEY* key, const std::string& ip)
{
    certificate_ptr made{X509_new(), &X509_free};
    X509_set_version(made.get(), version_3);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -lifetime);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), lifetime);
    X509_set_pubkey(made.get(), key);
    X509_NAME* name = X509_get_subject_name(made.get());
    const auto* common_name = reinterpret_cast<const unsigned char*>("hickorykeel test");
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, common_name, -1, -1, 0);
    X509_set_issuer_name(made.get(), name);
    add_extension(made.get(), NID_subject_alt_name, ("IP:" + ip).c_str());
    add_extension(made.get(), NID_basic_constraints, "critical,CA:TRUE");
    X509_sign(made.get(), key, EVP_sha256());
    return made;
}

std::unique_ptr<scratch_file> to_file(BIO* output)
{
    char* text = nullptr;
    const long size = BIO_get_mem_data(output, &text);
    return std::make_unique<scratch_file>(std::string_view{text, static_cast<std::size_t>(size)});
}

} // namespace

test_certificate::test_certificate(const std::string& ip)
{
    const key_ptr key{EVP_EC_gen("P-256"), &EVP_PKEY_free};
    const auto certificate = make_certificate(key.get(), ip);
    const output_ptr certificate_text{BIO_new(BIO_s_mem()), &BIO_free};
    PEM_write_bio_X509(certificate_text.get(), certificate.get());
    m_certificate = to_file(certificate_text.get());
    const output_ptr key_text{BIO_new(BIO_s_mem()), &BIO_free};
    PEM_write_bio_PrivateKey(key_text.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    m_key = to_file(key_text.get());
}

} // namespace hickorykeel::tests
