// Opens a listening socket on a configured address.
#pragma once

#include <waxwinglug/error.h>
#include <waxwinglug/ini.h>

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <string_view>

namespace waxwinglug::io {

// Binds the acceptor and returns the bound port. Throws Error (Unavailable) when that fails; the message begins with
// "cannot listen" followed by `purpose`, for example " for peers".
inline std::uint16_t listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint,
    std::string_view purpose, std::string_view remedy)
{
    using boost::asio::ip::tcp;
    boost::system::error_code error;
    const tcp::endpoint address(boost::asio::ip::make_address(endpoint.host, error), endpoint.port);
    if (!error)
        acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error) {
        throw Error(ErrorKind::Unavailable,
            fmt::format("cannot listen{} on {}:{}: {}", purpose, endpoint.host, endpoint.port, error.message()),
            remedy);
    }
    return acceptor.local_endpoint().port();
}

} // namespace waxwinglug::io
