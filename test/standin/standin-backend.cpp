// Stand-in for a backend server: answers requests after a delay, counts the requests that it runs, and has fault modes.
//
//   standin-backend --port 9001 --name q01 [--delay-ms 20]
//
// GET /standin/stats returns the counts. POST /standin/mode sets the mode given in the body:
//   normal     runs the request and answers with status 200 and an echo of it after the delay
//   silent     counts the request and never answers
//   fail       counts the request and answers with status 500
//   draining   answers with status 503 and "Waxwing-Draining: yes", without running the request
#include "io/connection/caller-server.h"

#include <waxwinglug/json.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <getopt.h>

#include <cstdio>
#include <cstdlib>

namespace waxwinglug::test {
namespace {

    namespace asio = boost::asio;

    struct Options {
        std::uint16_t port = 0;
        std::string name = "backend";
        Duration delay { 20 };
    };

    // All handlers run on the one thread of the context.
    class Backend {
    public:
        Backend(asio::io_context& ioContext, Options backendOptions)
            : context(ioContext)
            , options(std::move(backendOptions))
        {
        }

        std::function<void()> handle(io::HttpRequest request, io::Respond respond)
        {
            if (request.target == "/standin/stats")
                respond({ 200, {}, this->stats().dump() });
            else if (request.target == "/standin/mode")
                this->setMode(request.body, respond);
            else
                this->run(std::move(request), std::move(respond));
            return {};
        }

    private:
        Json stats() const
        {
            return { { "name", this->options.name }, { "runs", this->runCount },
                { "mostRunning", this->maxRunningCount }, { "runsByBody", this->runCountsByBody },
                { "mode", this->mode } };
        }

        void setMode(const std::string& newMode, const io::Respond& respond)
        {
            this->mode = newMode;
            respond({ 200, {}, "{}" });
        }

        void run(io::HttpRequest request, io::Respond respond)
        {
            if (this->mode == "draining") {
                respond({ 503, { { "Waxwing-Draining", "yes" } }, "" });
                return;
            }
            ++this->runCount;
            ++this->runCountsByBody[request.body];
            if (this->mode == "silent")
                return;
            if (this->mode == "fail") {
                respond({ 500, {}, "failed" });
                return;
            }
            this->maxRunningCount = std::max(this->maxRunningCount, ++this->runningCount);
            auto timer = std::make_shared<asio::steady_timer>(this->context, this->options.delay);
            timer->async_wait([this, timer, request = std::move(request), respond = std::move(respond)](auto) {
                --this->runningCount;
                const Json body
                    = { { "server", this->options.name }, { "target", request.target }, { "echo", request.body } };
                respond({ 200, { { "Content-Type", "application/json" } },
                    body.dump(-1, ' ', false, Json::error_handler_t::replace) });
            });
        }

        asio::io_context& context;
        const Options options;
        std::string mode = "normal";
        int runCount = 0;
        int runningCount = 0;
        int maxRunningCount = 0;
        std::map<std::string, int> runCountsByBody;
    };

    Options parseOptions(int argc, char** argv)
    {
        static const option names[] = { { "port", required_argument, nullptr, 'p' },
            { "name", required_argument, nullptr, 'n' }, { "delay-ms", required_argument, nullptr, 'd' }, {} };
        Options options;
        for (int choice = 0; (choice = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
            if (choice == 'p')
                options.port = static_cast<std::uint16_t>(std::atoi(optarg));
            else if (choice == 'n')
                options.name = optarg;
            else if (choice == 'd')
                options.delay = Duration(std::atoi(optarg));
            else
                std::exit(2);
        }
        return options;
    }

    int runBackend(int argc, char** argv)
    {
        const auto options = parseOptions(argc, argv);
        asio::io_context context;
        Backend backend(context, options);
        io::CallerHooks hooks;
        hooks.bodyLimitBytes = [](std::string_view) { return std::uint64_t { 16 } << 20; };
        hooks.handle = [&backend](io::HttpRequest request, io::Respond respond) {
            return backend.handle(std::move(request), std::move(respond));
        };
        hooks.reject = [](int status, std::string_view problem, std::string_view) {
            return io::HttpResponse { status, {}, std::string(problem) };
        };
        const io::CallerServer server(context, { "127.0.0.1", options.port }, {}, std::move(hooks));
        fmt::print("listening on 127.0.0.1:{}\n", server.port());
        std::fflush(stdout);
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](auto, auto) { context.stop(); });
        context.run();
        return 0;
    }

} // namespace
} // namespace waxwinglug::test

int main(int argc, char** argv)
{
    try {
        return waxwinglug::test::runBackend(argc, argv);
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin-backend: {}\n", error.what());
        return 1;
    }
}
