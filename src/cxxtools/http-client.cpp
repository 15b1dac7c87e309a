// HTTP client over cxxtools::http::Client.
#include "cxxtools/http-client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/tcpsocket.h>

#include <cstdlib>
#include <exception>

namespace waxwinglug::detail {

struct HttpClient::State {
    std::string host;
    unsigned short port = 0;
    std::unique_ptr<cxxtools::http::Client> client;
};

namespace {

    // Returns true if the server accepts a connection. Checked before the call, because cxxtools does not report
    // whether a failed request was sent.
    bool isReachable(const std::string& host, unsigned short port, cxxtools::Milliseconds timeout)
    {
        try {
            cxxtools::net::TcpSocket socket;
            socket.setTimeout(timeout);
            socket.connect(host, port);
            return true;
        } catch (const std::exception&) {
            return false;
        }
    }

    // Returns true if the body has the length that the header announces; a truncated answer counts as no answer.
    bool isComplete(const cxxtools::http::ReplyHeader& header, const std::string& body)
    {
        const char* length = header.getHeader("Content-Length");
        return length != nullptr && std::strtoull(length, nullptr, 10) == body.size();
    }

} // namespace

HttpClient::HttpClient(const std::string& host, unsigned short port)
    : state(new State { host, port, nullptr })
{
}

HttpClient::~HttpClient() = default;

HttpResult HttpClient::call(const std::string& method, const std::string& path, const std::string& body,
    std::chrono::milliseconds timeout, bool reuseConnection)
{
    auto& client = this->state->client;
    const auto limit = cxxtools::Milliseconds(static_cast<double>(timeout.count()));
    if (!reuseConnection || !client) {
        client.reset();
        if (!isReachable(this->state->host, this->state->port, limit))
            return {};
        client = std::make_unique<cxxtools::http::Client>(this->state->host, this->state->port);
    }
    HttpResult result { HttpResult::State::NoAnswer, 0, "" };
    try {
        cxxtools::http::Request request(path);
        request.method(method);
        request.setHeader("Content-Type", "application/json");
        request.body() << body;
        const auto& header = client->execute(request, limit, limit);
        result.status = static_cast<int>(header.httpReturnCode());
        result.body = client->readBody().body();
        if (isComplete(header, result.body))
            result.state = HttpResult::State::Answered;
    } catch (const std::exception&) {
        result.state = HttpResult::State::NoAnswer;
    }
    if (!reuseConnection || result.state != HttpResult::State::Answered)
        client.reset();
    return result;
}

} // namespace waxwinglug::detail
