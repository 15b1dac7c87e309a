// Room of the buffers into which HTTP messages are read.
//
// Beast reads at most as many bytes at a time as the buffer has free room, 512 for a new buffer, and each read takes a
// turn of the event loop. A message must not need a number of turns in proportion to its size: on a busy event loop it
// would arrive seconds late.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstdint>

namespace waxwinglug::io::detail {

// Holds most messages; kept by idle connections.
inline constexpr std::size_t smallReadBufferBytes = 4096;
// Beast reads no more than this at a time.
inline constexpr std::size_t maxReadBytes = 65'536;

// Call before the body is read.
inline void reserveForBody(boost::beast::flat_buffer& buffer, const boost::optional<std::uint64_t>& contentLength)
{
    // The length of a chunked body is unknown.
    buffer.reserve(static_cast<std::size_t>(
        std::clamp<std::uint64_t>(contentLength.value_or(maxReadBytes), smallReadBufferBytes, maxReadBytes)));
}

// Returns the room of a large body. Call when a message has been read; the buffer may hold the begin of the next one.
inline void releaseLargeBuffer(boost::beast::flat_buffer& buffer)
{
    if (buffer.capacity() > smallReadBufferBytes)
        buffer.shrink_to_fit();
}

} // namespace waxwinglug::io::detail
