// Computes fingerprints.
#include "quarantine/types/fingerprint.h"

#include <openssl/sha.h>

#include <array>
#include <charconv>
#include <cstring>

namespace magnolia::quarantine
{

Fingerprint makeFingerprint(std::string_view kind, std::initializer_list<std::string_view> fields)
{
    std::string text;
    const auto append = [&text](std::string_view field) {
        text.append(std::to_string(field.size())).append(":").append(field);
    };
    append(kind);
    for (const std::string_view it : fields) {
        append(it);
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::uint64_t first = 0;
    std::memcpy(&first, digest.data(), sizeof(first));
    return Fingerprint{first};
}

std::vector<std::string> toHex(const std::vector<Fingerprint> &list)
{
    constexpr int hexadecimal = 16;
    std::vector<std::string> texts;
    texts.reserve(list.size());
    for (const Fingerprint it : list) {
        std::array<char, 16> buf{};
        const auto [end, ec]
            = std::to_chars(buf.data(), buf.data() + buf.size(), static_cast<std::uint64_t>(it), hexadecimal);
        texts.emplace_back(buf.data(), end);
    }
    return texts;
}

} // namespace magnolia::quarantine
