// Body framing by length, by chunks and by the end of the connection.
#include "framework/httpwire/bodydecoder.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace magnolia::httpwire
{

namespace
{

/** Limit of the size line of a chunk and of each trailer line, in bytes. */
constexpr std::size_t maxLineSize = 4096;
constexpr std::uint64_t maxTrailerSize = 16 * 1024;
constexpr std::uint64_t maxChunkSize = std::uint64_t{1} << 32U;

} // namespace

BodyDecoder BodyDecoder::withLength(std::uint64_t length)
{
    BodyDecoder decoder;
    decoder.m_framing = BodyFraming::Length;
    decoder.m_remaining = length;
    decoder.m_contentLength = length;
    decoder.m_isComplete = length == 0;
    return decoder;
}

BodyDecoder BodyDecoder::chunked()
{
    BodyDecoder decoder;
    decoder.m_framing = BodyFraming::Chunked;
    decoder.m_isComplete = false;
    return decoder;
}

BodyDecoder BodyDecoder::untilClose()
{
    BodyDecoder decoder;
    decoder.m_framing = BodyFraming::UntilClose;
    decoder.m_isComplete = false;
    return decoder;
}

void BodyDecoder::decode(std::string &input, std::string &body)
{
    if (m_isComplete || m_isMalformed) {
        return;
    }
    switch (m_framing) {
    case BodyFraming::None:
        break;
    case BodyFraming::Length: {
        const std::size_t size = static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, input.size()));
        body.append(input, 0, size);
        input.erase(0, size);
        m_remaining -= size;
        m_isComplete = m_remaining == 0;
        break;
    }
    case BodyFraming::Chunked:
        decodeChunks(input, body);
        break;
    case BodyFraming::UntilClose:
        body.append(input);
        input.clear();
        break;
    }
}

bool BodyDecoder::readLine(const std::string &input, std::size_t &offset, std::string &line)
{
    const std::size_t end = input.find("\r\n", offset);
    if (end == std::string::npos) {
        m_isMalformed = input.size() - offset > maxLineSize;
        return false;
    }
    line.assign(input, offset, end - offset);
    offset = end + 2;
    m_isMalformed = line.size() > maxLineSize || line.find('\n') != std::string::npos;
    return !m_isMalformed;
}

void BodyDecoder::decodeChunks(std::string &input, std::string &body)
{
    std::size_t offset = 0;
    std::string line;
    while (!m_isComplete && !m_isMalformed) {
        if (m_chunkState == ChunkState::Data) {
            const std::size_t size
                = static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, input.size() - offset));
            body.append(input, offset, size);
            offset += size;
            m_remaining -= size;
            if (m_remaining > 0) {
                break;
            }
            m_chunkState = ChunkState::DataEnd;
        }
        if (!readLine(input, offset, line)) {
            break;
        }
        if (m_chunkState == ChunkState::DataEnd) {
            m_isMalformed = !line.empty();
            m_chunkState = ChunkState::Size;
        } else if (m_chunkState == ChunkState::Size) {
            // Ignores chunk extensions after the size.
            const std::string_view digits = std::string_view(line).substr(0, line.find_first_of("; \t"));
            const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), m_remaining, 16);
            m_isMalformed = digits.empty() || ec != std::errc() || end != digits.data() + digits.size()
                || m_remaining > maxChunkSize;
            m_chunkState = m_remaining == 0 ? ChunkState::Trailer : ChunkState::Data;
        } else {
            m_trailerBytes += line.size();
            m_isMalformed = m_trailerBytes > maxTrailerSize;
            m_isComplete = line.empty();
        }
    }
    input.erase(0, offset);
}

BodyFraming BodyDecoder::framing() const
{
    return m_framing;
}

bool BodyDecoder::isComplete() const
{
    return m_isComplete && !m_isMalformed;
}

bool BodyDecoder::isMalformed() const
{
    return m_isMalformed;
}

std::uint64_t BodyDecoder::contentLength() const
{
    return m_contentLength;
}

} // namespace magnolia::httpwire
