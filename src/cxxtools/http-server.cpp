// cxxtools::http::Server with checks against request smuggling. Without them it parses chunked data as the next
// request, reads past Content-Length and accepts duplicate and negative lengths.
#include "cxxtools/http-server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <strings.h>

#include <algorithm>
#include <exception>
#include <istream>
#include <thread>

namespace waxwinglug::detail {
namespace {

    // Requests of operators have no body that is used; it is only read to find the next request.
    constexpr std::size_t maxBodyBytes = 65'536;
    constexpr unsigned maxThreadCount = 4;
    constexpr int keepAliveTimeoutMs = 10'000;
    constexpr int readTimeoutMs = 5'000;

    // Parses a Content-Length. Returns false if it is not a decimal number of at most `maxBodyBytes`.
    bool parseLength(const char* text, std::size_t& length)
    {
        length = 0;
        if (!*text)
            return false;
        for (; *text; ++text) {
            if (*text < '0' || *text > '9')
                return false;
            length = length * 10 + static_cast<std::size_t>(*text - '0');
            if (length > maxBodyBytes)
                return false;
        }
        return true;
    }

    class CheckedResponder : public cxxtools::http::Responder {
    public:
        CheckedResponder(cxxtools::http::Service& service, const HttpHandler& answer)
            : Responder(service)
            , handler(answer)
        {
        }

        void beginRequest(cxxtools::net::TcpSocket&, std::istream&, cxxtools::http::Request& request) override
        {
            this->isRefused = false;
            this->remainingBytes = 0;
            int lengthCount = 0;
            for (auto header = request.header().begin(); header != request.header().end(); ++header) {
                if (strcasecmp(header->first, "Transfer-Encoding") == 0)
                    this->isRefused = true;
                if (strcasecmp(header->first, "Content-Length") == 0) {
                    ++lengthCount;
                    this->isRefused = this->isRefused || !parseLength(header->second, this->remainingBytes);
                }
            }
            if (lengthCount > 1)
                this->isRefused = true;
            this->declaredBytes = request.header().contentLength();
        }

        std::size_t readBody(std::istream& in) override
        {
            // The end of a refused request is unknown, so its body is not read. The server aborts on a count of 0 and
            // replies as soon as the counts add up to the length that it parsed.
            if (this->isRefused)
                return this->declaredBytes;
            std::size_t count = 0;
            while (this->remainingBytes > 0 && in.rdbuf()->in_avail() > 0) {
                char buffer[4096];
                const auto wanted = std::min({ this->remainingBytes, sizeof(buffer),
                    static_cast<std::size_t>(std::max<std::streamsize>(in.rdbuf()->in_avail(), 1)) });
                const auto got
                    = static_cast<std::size_t>(in.rdbuf()->sgetn(buffer, static_cast<std::streamsize>(wanted)));
                if (got == 0)
                    break;
                this->remainingBytes -= got;
                count += got;
            }
            return count;
        }

        void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& answer) override
        {
            HttpAnswer content;
            if (this->isRefused) {
                content = { 400, "text/plain; charset=utf-8", "ambiguous framing; send one Content-Length\n" };
                answer.setHeader("Connection", "close");
            } else {
                content = this->handler(request.method(), request.url());
            }
            answer.httpReturn(content.status, content.status == 200 ? "OK" : "Refused");
            answer.setHeader("Content-Type", content.contentType.c_str());
            out << content.body;
        }

        void replyError(
            std::ostream& out, cxxtools::http::Request&, cxxtools::http::Reply& answer, const std::exception&) override
        {
            answer.httpReturn(500, "Internal Server Error");
            answer.setHeader("Content-Type", "text/plain; charset=utf-8");
            out << "internal error; see the log\n";
        }

    private:
        const HttpHandler& handler;
        std::size_t remainingBytes = 0;
        std::size_t declaredBytes = 0; // Content-Length as parsed by the server
        bool isRefused = false;
    };

    class CheckedService : public cxxtools::http::Service {
    public:
        explicit CheckedService(HttpHandler answer)
            : handler(std::move(answer))
        {
        }

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
        {
            return new CheckedResponder(*this, this->handler);
        }

        void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

    private:
        HttpHandler handler;
    };

} // namespace

struct HttpServer::State {
    State(const std::string& ip, std::uint16_t port, HttpHandler handler)
        : service(std::move(handler))
        , server(this->loop, ip, port)
    {
        this->server.minThreads(1);
        this->server.maxThreads(maxThreadCount);
        this->server.readTimeout(readTimeoutMs);
        this->server.keepAliveTimeout(keepAliveTimeoutMs);
        this->server.addService(cxxtools::Regex(".*"), this->service);
        this->thread = std::thread([this] { this->loop.run(); });
    }

    ~State()
    {
        this->loop.exit();
        this->thread.join();
    }

    cxxtools::EventLoop loop;
    CheckedService service;
    cxxtools::http::Server server;
    std::thread thread;
};

HttpServer::HttpServer(const std::string& ip, std::uint16_t port, HttpHandler handler)
    : state(std::make_unique<State>(ip, port, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

} // namespace waxwinglug::detail
