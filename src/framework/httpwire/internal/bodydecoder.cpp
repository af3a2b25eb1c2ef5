// Body framing by length, by chunks and by the end of the connection.
#include "framework/httpwire/bodydecoder.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace magnolia::httpwire
{

namespace
{

/** A chunk's size line or a trailer line longer than this is malformed. */
constexpr std::size_t longestLine = 4096;
constexpr std::uint64_t longestTrailer = 16 * 1024;
constexpr std::uint64_t largestChunk = std::uint64_t{1} << 32U;

} // namespace

BodyDecoder BodyDecoder::withLength(std::uint64_t length)
{
    BodyDecoder made;
    made.m_framing = BodyFraming::Length;
    made.m_left = length;
    made.m_length = length;
    made.m_isComplete = length == 0;
    return made;
}

BodyDecoder BodyDecoder::chunked()
{
    BodyDecoder made;
    made.m_framing = BodyFraming::Chunked;
    made.m_isComplete = false;
    return made;
}

BodyDecoder BodyDecoder::untilClose()
{
    BodyDecoder made;
    made.m_framing = BodyFraming::UntilClose;
    made.m_isComplete = false;
    return made;
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
        const std::size_t n = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, input.size()));
        body.append(input, 0, n);
        input.erase(0, n);
        m_left -= n;
        m_isComplete = m_left == 0;
        break;
    }
    case BodyFraming::Chunked:
        takeChunks(input, body);
        break;
    case BodyFraming::UntilClose:
        body.append(input);
        input.clear();
        break;
    }
}

bool BodyDecoder::takeLine(const std::string &input, std::size_t &at, std::string &line)
{
    const std::size_t end = input.find("\r\n", at);
    if (end == std::string::npos) {
        m_isMalformed = input.size() - at > longestLine;
        return false;
    }
    line.assign(input, at, end - at);
    at = end + 2;
    m_isMalformed = line.size() > longestLine || line.find('\n') != std::string::npos;
    return !m_isMalformed;
}

void BodyDecoder::takeChunks(std::string &input, std::string &body)
{
    std::size_t at = 0;
    std::string line;
    while (!m_isComplete && !m_isMalformed) {
        if (m_chunkState == ChunkState::Data) {
            const std::size_t n = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, input.size() - at));
            body.append(input, at, n);
            at += n;
            m_left -= n;
            if (m_left > 0) {
                break;
            }
            m_chunkState = ChunkState::DataEnd;
        }
        if (!takeLine(input, at, line)) {
            break;
        }
        if (m_chunkState == ChunkState::DataEnd) {
            m_isMalformed = !line.empty();
            m_chunkState = ChunkState::Size;
        } else if (m_chunkState == ChunkState::Size) {
            // A size may be followed by extensions, which carry nothing here.
            const std::string_view digits = std::string_view(line).substr(0, line.find_first_of("; \t"));
            const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), m_left, 16);
            m_isMalformed
                = digits.empty() || ec != std::errc() || end != digits.data() + digits.size() || m_left > largestChunk;
            m_chunkState = m_left == 0 ? ChunkState::Trailer : ChunkState::Data;
        } else {
            m_trailerBytes += line.size();
            m_isMalformed = m_trailerBytes > longestTrailer;
            m_isComplete = line.empty();
        }
    }
    input.erase(0, at);
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
    return m_length;
}

} // namespace magnolia::httpwire
