// Takes a message body out of a connection's bytes.
#pragma once

#include <cstdint>
#include <string>

namespace magnolia::httpwire
{

enum class BodyFraming {
    None,
    Length,
    Chunked,
    /** The body ends with its connection; only a response can be so. */
    UntilClose,
};

class BodyDecoder
{
public:
    /** A body without bytes. */
    BodyDecoder() = default;
    [[nodiscard]] static BodyDecoder withLength(std::uint64_t length);
    [[nodiscard]] static BodyDecoder chunked();
    [[nodiscard]] static BodyDecoder untilClose();

    /** Moves body bytes from `input` to the end of `body`; leaves what comes after the body. */
    void decode(std::string &input, std::string &body);

    [[nodiscard]] BodyFraming framing() const;
    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] bool isMalformed() const;
    /** The length that was announced; 0 for other framings. */
    [[nodiscard]] std::uint64_t contentLength() const;

private:
    enum class ChunkState {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    void takeChunks(std::string &input, std::string &body);
    [[nodiscard]] bool takeLine(const std::string &input, std::size_t &at, std::string &line);

    BodyFraming m_framing = BodyFraming::None;
    ChunkState m_chunkState = ChunkState::Size;
    // Invariant: bytes that are still due of the body (Length) or of the present chunk (Chunked).
    std::uint64_t m_left = 0;
    std::uint64_t m_length = 0;
    std::uint64_t m_trailerBytes = 0;
    bool m_isComplete = true;
    bool m_isMalformed = false;
};

} // namespace magnolia::httpwire
