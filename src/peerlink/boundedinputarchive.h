// An input archive that reads cereal's portable binary form and refuses sizes that the input cannot hold.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <cstdint>
#include <istream>
#include <memory>
#include <type_traits>

namespace magnolia::peerlink
{

/**
 * cereal's own archive resizes a string or vector to whatever size the input names, before it reads an element.
 * Each element takes at least one byte, so a size above the bytes that are left is a fault of the input.
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
        checkRemaining(static_cast<std::uint64_t>(size));
        m_inner.template loadBinary<dataSize>(data, size);
        m_remainingBytes -= static_cast<std::uint64_t>(size);
    }
    void checkRemaining(std::uint64_t size) const
    {
        if (size > m_remainingBytes) {
            throw cereal::Exception("size in the input exceeds the input");
        }
    }
    [[nodiscard]] std::uint64_t remainingBytes() const
    {
        return m_remainingBytes;
    }

private:
    cereal::PortableBinaryInputArchive m_inner;
    // Invariant: bytes of the input that are not yet read.
    std::uint64_t m_remainingBytes;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, T &value)
{
    archive.template loadBinary<sizeof(T)>(std::addressof(value), sizeof(T));
}

// A bool with any other bit pattern than 0 and 1 is undefined behaviour once read.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, bool &value)
{
    std::uint8_t byte = 0;
    archive.loadBinary<1>(&byte, 1);
    if (byte > 1) {
        throw cereal::Exception("a truth value is neither 0 nor 1");
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

} // namespace magnolia::peerlink

// Ties this archive to the output archive whose form it reads; cereal needs it for minimal functions, as of enums.
template <>
struct cereal::traits::detail::get_output_from_input<magnolia::peerlink::BoundedInputArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};
