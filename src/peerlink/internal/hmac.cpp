// HMAC-SHA-256 with OpenSSL's one-shot function.
#include "peerlink/internal/hmac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace magnolia::peerlink
{

std::optional<HmacTag> hmacSha256(std::string_view key, std::string_view data)
{
    if (key.empty()) {
        return std::nullopt;
    }
    HmacTag tag{};
    unsigned int size = 0;
    const auto *input = reinterpret_cast<const unsigned char *>(data.data());
    auto *output = reinterpret_cast<unsigned char *>(tag.data());
    const unsigned char *done
        = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), input, data.size(), output, &size);
    if (done == nullptr || size != tag.size()) {
        return std::nullopt;
    }
    return tag;
}

bool isEqualConstantTime(const HmacTag &tag, std::string_view other)
{
    return other.size() == tag.size() && CRYPTO_memcmp(tag.data(), other.data(), tag.size()) == 0;
}

} // namespace magnolia::peerlink
