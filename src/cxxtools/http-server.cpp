// cxxtools::http::Server with the checks that it lacks. It parses chunked data as the next request, reads past
// Content-Length and accepts duplicate and negative lengths, so that one connection could smuggle a second request.
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

    // Operators' requests carry no body worth reading.
    constexpr std::size_t mostBodyBytes = 65'536;
    constexpr unsigned mostThreads = 4;
    constexpr int keepAliveMilliseconds = 10'000;
    constexpr int readTimeoutMilliseconds = 5'000;

    // Returns false on a length that is not one plain number within the limit.
    bool parseLength(const char* text, std::size_t& length)
    {
        length = 0;
        if (!*text)
            return false;
        for (; *text; ++text) {
            if (*text < '0' || *text > '9')
                return false;
            length = length * 10 + static_cast<std::size_t>(*text - '0');
            if (length > mostBodyBytes)
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
            this->refused = false;
            this->remaining = 0;
            int lengths = 0;
            for (auto header = request.header().begin(); header != request.header().end(); ++header) {
                if (strcasecmp(header->first, "Transfer-Encoding") == 0)
                    this->refused = true;
                if (strcasecmp(header->first, "Content-Length") == 0) {
                    ++lengths;
                    this->refused = this->refused || !parseLength(header->second, this->remaining);
                }
            }
            if (lengths > 1)
                this->refused = true;
            this->declared = request.header().contentLength();
        }

        std::size_t readBody(std::istream& in) override
        {
            // Where a refused request ends is unknown, so nothing of it is read. The server aborts on a count of 0 and
            // replies as soon as the counts add up to the length that it parsed.
            if (this->refused)
                return this->declared;
            std::size_t count = 0;
            while (this->remaining > 0 && in.rdbuf()->in_avail() > 0) {
                char buffer[4096];
                const auto wanted = std::min({ this->remaining, sizeof(buffer),
                    static_cast<std::size_t>(std::max<std::streamsize>(in.rdbuf()->in_avail(), 1)) });
                const auto got
                    = static_cast<std::size_t>(in.rdbuf()->sgetn(buffer, static_cast<std::streamsize>(wanted)));
                if (got == 0)
                    break;
                this->remaining -= got;
                count += got;
            }
            return count;
        }

        void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& answer) override
        {
            HttpAnswer content;
            if (this->refused) {
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
        std::size_t remaining = 0;
        std::size_t declared = 0; // as the server parsed it
        bool refused = false;
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
        this->server.maxThreads(mostThreads);
        this->server.readTimeout(readTimeoutMilliseconds);
        this->server.keepAliveTimeout(keepAliveMilliseconds);
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
