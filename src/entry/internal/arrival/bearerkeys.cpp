// Checks a bearer key against the published key hashes of an organisation.
#include "entry/internal/arrival/bearerkeys.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace magnolia::entry
{

namespace
{

constexpr std::string_view bearerScheme = "Bearer ";

bool isEqualConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string sha256Hex(const std::string &text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0xFU];
    }
    return hex;
}

Result<void> checkBearerKey(const Organisation &organisation, const std::string &authorization)
{
    if (!organisation.keyHashes) {
        return {};
    }
    if (!authorization.starts_with(bearerScheme)) {
        return makeError(ResultCode::RequestUnauthorised, "the header Authorization must contain a bearer key");
    }
    const std::string hash = sha256Hex(authorization.substr(bearerScheme.size()));
    bool isKnown = false;
    // Compares every hash, so that the response time does not reveal which one matched.
    for (const std::string &known : *organisation.keyHashes) {
        isKnown = isEqualConstantTime(known, hash) || isKnown;
    }
    if (!isKnown) {
        return makeError(ResultCode::RequestUnauthorised, "the bearer key does not belong to this organisation");
    }
    return {};
}

} // namespace magnolia::entry
