// Incremental decoder of the body of an HTTP/1.1 message.
#pragma once

#include <cstdint>
#include <string>

namespace magnolia::httpwire
{

enum class BodyFraming {
    None,
    Length,
    Chunked,
    /** The body ends when the connection closes; only possible for a response. */
    UntilClose,
};

class BodyDecoder
{
public:
    /** Creates a decoder of an empty body. */
    BodyDecoder() = default;
    [[nodiscard]] static BodyDecoder withLength(std::uint64_t length);
    [[nodiscard]] static BodyDecoder chunked();
    [[nodiscard]] static BodyDecoder untilClose();

    /** Moves body bytes from `input` to the end of `body`; bytes after the body stay in `input`. */
    void decode(std::string &input, std::string &body);

    [[nodiscard]] BodyFraming framing() const;
    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] bool isMalformed() const;
    /** Returns the announced length; 0 for other framings. */
    [[nodiscard]] std::uint64_t contentLength() const;

private:
    enum class ChunkState {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    void decodeChunks(std::string &input, std::string &body);
    [[nodiscard]] bool readLine(const std::string &input, std::size_t &offset, std::string &line);

    BodyFraming m_framing = BodyFraming::None;
    ChunkState m_chunkState = ChunkState::Size;
    // Invariant: the remaining bytes of the body (Length) or of the current chunk (Chunked).
    std::uint64_t m_remaining = 0;
    std::uint64_t m_contentLength = 0;
    std::uint64_t m_trailerBytes = 0;
    bool m_isComplete = true;
    bool m_isMalformed = false;
};

} // namespace magnolia::httpwire
