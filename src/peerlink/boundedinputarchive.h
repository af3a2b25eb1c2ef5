// Input archive for cereal's portable binary format that rejects sizes greater than the remaining input.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <istream>
#include <memory>
#include <type_traits>
#include <vector>

namespace magnolia::peerlink
{

/** Thrown if the input ends before the value does. */
class EndOfInput : public cereal::Exception
{
public:
    explicit EndOfInput(bool isBetweenFields)
        : cereal::Exception("a size field exceeds the remaining input")
        , m_isBetweenFields(isBetweenFields)
    {
    }

    /** Whether the input ends before a number, so that no started string, list or number is incomplete. */
    [[nodiscard]] bool isBetweenFields() const
    {
        return m_isBetweenFields;
    }

private:
    bool m_isBetweenFields;
};

/**
 * cereal's own archive resizes a string or vector to any size that the input specifies, before it reads an element.
 * Each element takes at least one byte, so a size greater than the number of remaining bytes is invalid.
 * Throws cereal::Exception; `decode` in binarycodec.h turns that into a result.
 */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    /** Reads at most `size` bytes of `stream`, the first of which is the byte order mark. */
    BoundedInputArchive(std::istream &stream, std::uint64_t size)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , m_inner(stream)
        , m_remainingBytes(size == 0 ? 0 : size - 1)
    {
    }

    template <std::streamsize dataSize>
    void loadBinary(void *data, std::streamsize size)
    {
        if (m_remainingBytes == 0 && size > 0) {
            throw EndOfInput(true);
        }
        checkRemaining(static_cast<std::uint64_t>(size));
        m_inner.template loadBinary<dataSize>(data, size);
        m_remainingBytes -= static_cast<std::uint64_t>(size);
    }
    void checkRemaining(std::uint64_t size) const
    {
        if (size > m_remainingBytes) {
            throw EndOfInput(false);
        }
    }
    [[nodiscard]] std::uint64_t remainingBytes() const
    {
        return m_remainingBytes;
    }

private:
    cereal::PortableBinaryInputArchive m_inner;
    // Invariant: number of input bytes that have not been read yet.
    std::uint64_t m_remainingBytes;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, T &value)
{
    archive.template loadBinary<sizeof(T)>(std::addressof(value), sizeof(T));
}

// Reading a bool with a bit pattern other than 0 and 1 is undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, bool &value)
{
    std::uint8_t byte = 0;
    archive.loadBinary<1>(&byte, 1);
    if (byte > 1) {
        throw cereal::Exception("a boolean is neither 0 nor 1");
    }
    value = byte == 1;
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    archive.checkRemaining(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.template loadBinary<sizeof(std::remove_pointer_t<T>)>(data.data, static_cast<std::streamsize>(data.size));
}

// Grows with the elements that are really there. cereal's own function resizes to the stated size first, and a
// malformed snapshot of 32 MiB could state 32 million items of 88 bytes.
template <typename T, typename Allocator>
std::enable_if_t<!std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive &archive, std::vector<T, Allocator> &values)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    values.clear();
    // Covers most lists with one allocation.
    constexpr cereal::size_type maxReserved = 64;
    values.reserve(static_cast<std::size_t>(size < maxReserved ? size : maxReserved));
    for (cereal::size_type i = 0; i < size; ++i) {
        archive(values.emplace_back());
    }
}

} // namespace magnolia::peerlink

// Declares the matching output archive, which cereal needs for minimal save and load functions such as those of enums.
template <>
struct cereal::traits::detail::get_output_from_input<magnolia::peerlink::BoundedInputArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};
