// Messages between entry VMs: binary WebSocket messages over TCP, with one outgoing connection per peer. Delivery is
// not guaranteed, and the protocols above tolerate loss. The receiver of a message must check its keyed hash.
#pragma once

#include <waxwinglug/ini.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace waxwinglug::io {

class PeerSocket {
public:
    using OnMessage = std::function<void(std::string)>;

    /// Starts to listen; port 0 selects a free port. `onMessage` runs on a thread of the context, one call at a time.
    /// Throws Error (Unavailable) if the address cannot be used.
    PeerSocket(boost::asio::io_context& context, const Endpoint& listen, OnMessage onMessage);
    ~PeerSocket();
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    /// Queues a message without blocking. Thread-safe. The message is dropped if the peer is unreachable, the queue to
    /// the peer is full, or the message exceeds MessageCodec::maxMessageBytes.
    void send(const Endpoint& peer, std::string bytes);
    /// Closes all connections and drops queued messages. Thread-safe. No call of onMessage starts after close()
    /// returns, but a call on another thread may still be in progress.
    void close();

    std::uint16_t port() const;
    /// Number of messages that were passed to send() and not written.
    std::uint64_t droppedMessageCount() const;

private:
    class Impl;

    std::shared_ptr<Impl> impl;
};

} // namespace waxwinglug::io
