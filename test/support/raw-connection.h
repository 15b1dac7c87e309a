// TCP client and server for tests that need bytes on the wire which an HTTP library does not produce.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace waxwinglug::test {

using boost::asio::ip::tcp;

// A blocking client connection to a loopback port.
class RawConnection {
public:
    explicit RawConnection(std::uint16_t port)
        : socket(context)
    {
        this->socket.connect({ boost::asio::ip::address_v4::loopback(), port });
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code ignored; // the peer may already have answered and closed
        boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
    }

    // Reads until the received bytes contain `text` or the peer closes. Returns everything received so far.
    std::string receiveUntil(std::string_view text)
    {
        while (this->received.find(text) == std::string::npos && this->readSome()) { }
        return this->received;
    }

    // Reads until the peer closes. Returns everything received so far.
    std::string receiveAll()
    {
        while (this->readSome()) { }
        return this->received;
    }

    void close() { this->socket.close(); }

private:
    bool readSome()
    {
        char bytes[4096];
        boost::system::error_code error;
        const auto count = this->socket.read_some(boost::asio::buffer(bytes), error);
        this->received.append(bytes, count);
        return !error;
    }

    boost::asio::io_context context;
    tcp::socket socket;
    std::string received;
};

// A server on a free loopback port that runs a script for each connection on a separate thread. Connections are
// numbered from 0.
class RawServer {
public:
    using Script = std::function<void(tcp::socket&, int connection)>;

    explicit RawServer(Script connectionScript)
        : acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , script(std::move(connectionScript))
        , thread([this] { this->acceptLoop(); })
    {
    }

    ~RawServer()
    {
        this->isStopping = true;
        boost::system::error_code ignored;
        tcp::socket wake(this->context);
        wake.connect(this->acceptor.local_endpoint(), ignored);
        this->thread.join();
        for (auto& each : this->sockets)
            each->shutdown(tcp::socket::shutdown_both, ignored);
        for (auto& each : this->connectionThreads)
            each.join();
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    // Reads one request header. Returns it, or an empty string if the peer closes before its end.
    static std::string readHeader(tcp::socket& socket)
    {
        std::string text;
        char byte = 0;
        boost::system::error_code error;
        while (!text.ends_with("\r\n\r\n") && socket.read_some(boost::asio::buffer(&byte, 1), error) == 1)
            text.push_back(byte);
        return text.ends_with("\r\n\r\n") ? text : std::string();
    }

    static void write(tcp::socket& socket, std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }

    // Blocks until the peer closes or the server is destroyed.
    static void waitForClose(tcp::socket& socket)
    {
        char bytes[256];
        boost::system::error_code error;
        while (!error)
            socket.read_some(boost::asio::buffer(bytes), error);
    }

private:
    void acceptLoop()
    {
        for (int number = 0;; ++number) {
            auto socket = std::make_shared<tcp::socket>(this->context);
            this->acceptor.accept(*socket);
            if (this->isStopping)
                return;
            this->sockets.push_back(socket);
            this->connectionThreads.emplace_back([this, socket, number] {
                this->script(*socket, number);
                boost::system::error_code ignored;
                socket->shutdown(tcp::socket::shutdown_both, ignored);
            });
        }
    }

    boost::asio::io_context context;
    tcp::acceptor acceptor;
    Script script;
    std::atomic<bool> isStopping = false;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::vector<std::thread> connectionThreads;
    std::thread thread;
};

} // namespace waxwinglug::test
