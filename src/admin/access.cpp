// Compares bearer tokens by their hash.
#include "admin/access.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace samphirespool::admin {

namespace {

constexpr std::string_view bearer_scheme = "Bearer ";

bool equal_in_constant_time(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string token_hash(std::string_view token) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
    std::string text;
    text.reserve(2 * digest.size());
    for (const auto byte : digest) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

std::optional<identity> access_control::authenticate(const http::header_list& headers) const {
    const auto value = http::find_header(headers, "authorization");
    if (!value || !value->starts_with(bearer_scheme))
        return std::nullopt;
    const auto hash = token_hash(value->substr(bearer_scheme.size()));
    std::optional<identity> result;
    for (const auto& token : this->tokens)
        if (equal_in_constant_time(hash, token.token_hash))
            result = identity{token.name, token.role};
    return result;
}

} // namespace samphirespool::admin
