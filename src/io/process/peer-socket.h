// Messages between entry VMs: WebSocket in binary mode over TCP, one outgoing connection for each peer. Delivery is
// not guaranteed; the messages themselves tolerate loss, and their keyed hash is checked by the receiver.
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

    /// Listens at once; port 0 chooses a free port. `onMessage` runs on a thread of the context, one call at a time.
    /// Throws Error (Unavailable) when the address cannot be used.
    PeerSocket(boost::asio::io_context& context, const Endpoint& listen, OnMessage onMessage);
    ~PeerSocket();
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    /// Queues a message and never blocks; any thread. It is dropped when the peer is away, the queue to the peer is
    /// full, or the message exceeds MessageCodec::maxMessageBytes.
    void send(const Endpoint& peer, std::string bytes);
    /// Closes all connections; any thread. Queued messages are dropped. No call of onMessage begins after it, but one
    /// that runs on another thread may still be ending.
    void close();

    std::uint16_t port() const;
    /// Messages that send() took and that were not written.
    std::uint64_t droppedMessageCount() const;

private:
    class Impl;

    std::shared_ptr<Impl> impl;
};

} // namespace waxwinglug::io
