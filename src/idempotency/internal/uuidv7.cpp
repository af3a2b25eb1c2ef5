// Parses and formats UUID version 7 in its text form, 8-4-4-4-12 hexadecimal digits.
#include "idempotency/uuidv7.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <string>

namespace magnolia::idempotency
{

namespace
{

constexpr std::size_t textLength = 36;
constexpr std::size_t versionIndex = 14;
constexpr std::size_t variantIndex = 19;

bool isHyphenIndex(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

bool isHexDigit(char c)
{
    return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

bool isUuidV7(const std::string &text)
{
    if (text.size() != textLength) {
        return false;
    }
    for (std::size_t i = 0; i < textLength; ++i) {
        if (isHyphenIndex(i) ? text[i] != '-' : !isHexDigit(text[i])) {
            return false;
        }
    }
    const bool hasVariant = std::string("89abAB").find(text[variantIndex]) != std::string::npos;
    return text[versionIndex] == '7' && hasVariant;
}

} // namespace

Result<WallTime> creationTime(const IdempotencyKey &key)
{
    const std::string &text = key.value();
    if (text.empty()) {
        return makeError(ResultCode::KeyMissing, "the idempotency key is empty; expected a UUID version 7");
    }
    if (!isUuidV7(text)) {
        return makeError(ResultCode::KeyMalformed, "the idempotency key is not a UUID version 7");
    }
    const std::string digits = text.substr(0, 8) + text.substr(9, 4);
    return WallTime(Milliseconds(std::stoll(digits, nullptr, 16)));
}

IdempotencyKey canonicalKey(const IdempotencyKey &key)
{
    std::string text = key.value();
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return IdempotencyKey(std::move(text));
}

IdempotencyKey makeKey(WallTime now, Random &random)
{
    constexpr std::uint64_t timeMask = 0xFFFF'FFFF'FFFFULL;
    const std::uint64_t time = static_cast<std::uint64_t>(now.time_since_epoch().count()) & timeMask;
    const std::uint64_t high = random.next();
    const std::uint64_t low = random.next();
    std::array<char, textLength + 1> buf{};
    std::snprintf(buf.data(), buf.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
        static_cast<unsigned long long>(time >> 16U), static_cast<unsigned long long>(time & 0xFFFFU),
        static_cast<unsigned long long>(high & 0xFFFU), static_cast<unsigned long long>(0x8000U | (low >> 50U)),
        static_cast<unsigned long long>(low & timeMask));
    return IdempotencyKey(std::string(buf.data(), textLength));
}

} // namespace magnolia::idempotency
