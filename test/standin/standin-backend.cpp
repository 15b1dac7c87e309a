// Stand-in for a backend server: answers requests after a delay, counts what it ran, and has fault modes.
//
//   standin-backend --port 9001 --name q01 [--delay-ms 20]
//
// GET /standin/stats returns the counts; POST /standin/mode with normal, silent, fail or draining changes the mode.
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
            return { { "name", this->options.name }, { "runs", this->runs }, { "mostRunning", this->mostRunning },
                { "runsByBody", this->runsByBody }, { "mode", this->mode } };
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
            ++this->runs;
            ++this->runsByBody[request.body];
            if (this->mode == "silent")
                return;
            if (this->mode == "fail") {
                respond({ 500, {}, "failed" });
                return;
            }
            this->mostRunning = std::max(this->mostRunning, ++this->running);
            auto timer = std::make_shared<asio::steady_timer>(this->context, this->options.delay);
            timer->async_wait([this, timer, request = std::move(request), respond = std::move(respond)](auto) {
                --this->running;
                const Json body
                    = { { "server", this->options.name }, { "target", request.target }, { "echo", request.body } };
                respond({ 200, { { "Content-Type", "application/json" } },
                    body.dump(-1, ' ', false, Json::error_handler_t::replace) });
            });
        }

        asio::io_context& context;
        const Options options;
        std::string mode = "normal";
        int runs = 0;
        int running = 0;
        int mostRunning = 0;
        std::map<std::string, int> runsByBody;
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
