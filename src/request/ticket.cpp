#include "request/ticket.h"

#include <array>    // array
#include <charconv> // from_chars
#include <utility>  // move
#include <vector>   // vector

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace hickorykeel {
namespace detail {

constexpr std::string_view ticket_prefix = "hkt1.";
constexpr std::size_t ticket_field_count = 7;
constexpr std::size_t maximum_ticket_bytes = 512;
constexpr int hexadecimal_base = 16;

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find(separator, begin);
        parts.push_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos) {
            return parts;
        }
        begin = end + 1;
    }
}

std::string to_hex(std::uint64_t number)
{
    std::array<char, 16> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal_base);
    return {digits.data(), end.ptr};
}

bool from_hex(std::string_view text, std::uint64_t& number)
{
    const auto end =
        std::from_chars(text.data(), text.data() + text.size(), number, hexadecimal_base);
    return end.ec == std::errc{} && end.ptr == text.data() + text.size();
}

} // namespace detail

ticket_mint::ticket_mint(std::string host, std::uint64_t incarnation, std::string secret)
    : m_host(std::move(host)), m_incarnation(incarnation), m_secret(std::move(secret))
{
}

std::string ticket_mint::make(std::string_view organisation, std::string_view profile,
                              std::string_view id, time_point expiry) const
{
    // "~" separates the fields: names and identifiers don't contain it
    std::string payload(detail::ticket_prefix);
    payload.append(m_host).append("~").append(detail::to_hex(m_incarnation)).append("~");
    payload.append(detail::to_hex(to_stamp(expiry))).append("~").append(id).append("~");
    payload.append(organisation).append("~").append(profile).append("~");
    return payload + to_mac(payload);
}

std::optional<ticket> ticket_mint::verify(std::string_view text) const
{
    auto parsed = parse_ticket(text);
    if (!parsed || parsed->host != m_host || parsed->incarnation != m_incarnation) {
        return std::nullopt;
    }
    const std::size_t mac_begin = text.rfind('~') + 1;
    const std::string expected = to_mac(text.substr(0, mac_begin));
    const std::string_view mac = text.substr(mac_begin);
    if (mac.size() != expected.size() ||
        CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) != 0) {
        return std::nullopt;
    }
    return parsed;
}

std::string ticket_mint::to_mac(std::string_view payload) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
         reinterpret_cast<const unsigned char*>(payload.data()), payload.size(), digest.data(),
         &size);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string mac;
    for (unsigned int i = 0; i < size / 2; ++i) {
        mac.push_back(digits[digest[i] >> 4U]);
        mac.push_back(digits[digest[i] & 15U]);
    }
    return mac;
}

std::optional<ticket> parse_ticket(std::string_view text)
{
    if (!text.starts_with(detail::ticket_prefix) || text.size() > detail::maximum_ticket_bytes) {
        return std::nullopt;
    }
    const auto parts = detail::split(text.substr(detail::ticket_prefix.size()), '~');
    if (parts.size() != detail::ticket_field_count) {
        return std::nullopt;
    }
    ticket parsed;
    parsed.host = parts[0];
    parsed.id = parts[3];
    parsed.organisation = parts[4];
    parsed.profile = parts[5];
    if (!detail::from_hex(parts[1], parsed.incarnation) ||
        !detail::from_hex(parts[2], parsed.expiry_stamp)) {
        return std::nullopt;
    }
    return parsed;
}

} // namespace hickorykeel
