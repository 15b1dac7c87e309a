// Stand-in for the platform in tests and demonstrations: table, objects, VM list and faults over HTTP, kept in memory.
// Usage: standin-platform --port N; port 0 selects a free port. Prints "listening on 127.0.0.1:PORT"; ends on SIGTERM.
#include <waxwinglug/json.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <getopt.h>

#include <charconv>
#include <chrono>
#include <cstdio>
#include <map>
#include <optional>
#include <string>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using waxwinglug::Json;
using Request = http::request<http::string_body>;

struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
};

struct Answer {
    http::status status = http::status::ok;
    std::string body = "{}";
    // The connection is closed without an answer, although the request has taken effect.
    bool isLost = false;
};

Answer notFound() { return { http::status::not_found, R"({"error":"unknown path; see docs/design.md section 8"})" }; }

// The state of the platform and its HTTP interface; used on one thread.
class StandinPlatform {
public:
    std::chrono::milliseconds delay() const { return std::chrono::milliseconds(this->delayMs); }

    Answer handle(const Request& request)
    {
        try {
            return this->route(request);
        } catch (const Json::exception& error) {
            return { http::status::bad_request, Json { { "error", error.what() } }.dump() };
        }
    }

private:
    Answer route(const Request& request)
    {
        const std::string path(request.target());
        const auto method = request.method();
        if (path.starts_with("/control/"))
            return this->handleControl(path, Json::parse(request.body()));
        if (this->isUnavailable)
            return { http::status::service_unavailable, R"({"error":"the platform is down; try again later"})" };
        if (path == "/table/read")
            return this->readRows(Json::parse(request.body()));
        if (path == "/table/scan")
            return this->scanRows(Json::parse(request.body()));
        if (path == "/table/commit")
            return this->commitWrites(Json::parse(request.body()));
        if (path.starts_with("/objects/"))
            return this->handleObject(method, path.substr(std::string_view("/objects/").size()), request.body());
        if (path == "/vms" && method == http::verb::get)
            return this->listVms();
        if (path.starts_with("/vms/") && method == http::verb::post)
            return this->orderVm(path.substr(std::string_view("/vms/").size()), request.body());
        return notFound();
    }

    Answer handleControl(const std::string& path, const Json& json)
    {
        if (path == "/control/faults") {
            this->isUnavailable = json.value("down", false);
            this->delayMs = json.value("slowMs", 0);
            this->losesCommitAnswers = json.value("loseCommitAnswers", false);
            return {};
        }
        if (path == "/control/vms") {
            for (const auto& vm : json.at("vms"))
                this->vms[vm.at("name").get<std::string>()] = vm;
            return {};
        }
        return notFound();
    }

    Json rowAsJson(const std::string& key) const
    {
        const auto found = this->rows.find(key);
        const auto stored = found == this->rows.end() ? StoredRow {} : found->second;
        return { { "key", key }, { "value", stored.value }, { "version", stored.version } };
    }

    Answer readRows(const Json& json) const
    {
        auto found = Json::array();
        for (const auto& key : json.at("keys"))
            found.push_back(this->rowAsJson(key.get<std::string>()));
        return { http::status::ok, Json { { "rows", found } }.dump() };
    }

    Answer scanRows(const Json& json) const
    {
        const auto prefix = json.at("prefix").get<std::string>();
        auto found = Json::array();
        for (auto row = this->rows.lower_bound(prefix); row != this->rows.end() && row->first.starts_with(prefix);
             ++row)
            found.push_back(this->rowAsJson(row->first));
        return { http::status::ok, Json { { "rows", found } }.dump() };
    }

    Answer commitWrites(const Json& json)
    {
        auto conflicts = Json::array();
        for (const auto& write : json.at("writes")) {
            auto current = this->rowAsJson(write.at("key").get<std::string>());
            if (current["version"] != write.at("expected"))
                conflicts.push_back(std::move(current));
        }
        Answer answer;
        if (conflicts.empty()) {
            for (const auto& write : json.at("writes")) {
                const auto key = write.at("key").get<std::string>();
                if (write.at("value").is_null())
                    this->rows.erase(key);
                else
                    this->rows[key] = { write.at("value").get<std::string>(), ++this->lastVersion };
            }
            answer.body = R"({"status":"committed","conflicts":[]})";
        } else {
            answer.body = Json { { "status", "conflict" }, { "conflicts", conflicts } }.dump();
        }
        answer.isLost = this->losesCommitAnswers;
        return answer;
    }

    Answer handleObject(http::verb method, const std::string& name, const std::string& content)
    {
        if (method == http::verb::put) {
            this->objects[name] = content;
            return {};
        }
        const auto found = this->objects.find(name);
        if (method != http::verb::get || found == this->objects.end())
            return { http::status::not_found, R"({"error":"no such object"})" };
        return { http::status::ok, found->second };
    }

    Answer listVms() const
    {
        auto list = Json::array();
        for (const auto& [name, vm] : this->vms)
            list.push_back(vm);
        return { http::status::ok, Json { { "vms", list } }.dump() };
    }

    Answer orderVm(const std::string& order, const std::string& body)
    {
        const auto slash = order.find('/');
        const auto found = this->vms.find(order.substr(0, slash));
        if (slash == std::string::npos || found == this->vms.end())
            return notFound();
        const auto action = order.substr(slash + 1);
        if (action == "checkpoint")
            return {};
        if (action != "reboot")
            return notFound();
        const auto incarnation = Json::parse(body).at("incarnation").get<std::uint64_t>();
        auto& vm = found->second;
        // A repeated order must not restart the VM again.
        if (vm.at("incarnation").get<std::uint64_t>() <= incarnation) {
            vm["incarnation"] = incarnation + 1;
            vm["state"] = "live";
        }
        return {};
    }

    bool isUnavailable = false;
    int delayMs = 0;
    bool losesCommitAnswers = false;
    std::map<std::string, StoredRow> rows;
    std::uint64_t lastVersion = 0;
    std::map<std::string, std::string> objects;
    std::map<std::string, Json> vms;
};

asio::awaitable<void> serveConnection(tcp::socket socket, StandinPlatform& platform)
{
    try {
        boost::beast::flat_buffer buffer;
        for (;;) {
            Request request;
            co_await http::async_read(socket, buffer, request, asio::use_awaitable);
            if (const auto delay = platform.delay(); delay.count() > 0 && !request.target().starts_with("/control/")) {
                asio::steady_timer timer(socket.get_executor(), delay);
                co_await timer.async_wait(asio::use_awaitable);
            }
            auto answer = platform.handle(request);
            if (answer.isLost)
                co_return;
            http::response<http::string_body> response(answer.status, request.version());
            response.set(http::field::content_type, "application/json");
            response.keep_alive(request.keep_alive());
            response.body() = std::move(answer.body);
            response.prepare_payload();
            co_await http::async_write(socket, response, asio::use_awaitable);
            if (!response.keep_alive())
                co_return;
        }
    } catch (const boost::system::system_error&) {
        // The client closed the connection.
        co_return;
    }
}

asio::awaitable<void> acceptLoop(tcp::acceptor& acceptor, StandinPlatform& platform)
{
    for (;;) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket), platform), asio::detached);
    }
}

std::optional<std::uint16_t> parsePort(int argc, char** argv)
{
    static const option options[] = { { "port", required_argument, nullptr, 'p' }, { nullptr, 0, nullptr, 0 } };
    std::optional<std::uint16_t> port;
    for (int choice = 0; (choice = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (choice != 'p')
            return std::nullopt;
        std::uint16_t number = 0;
        const std::string_view text(optarg);
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        port = number;
    }
    return optind == argc ? port : std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    const auto port = parsePort(argc, argv);
    if (!port) {
        std::fprintf(stderr, "usage: standin-platform --port N\n");
        return 2;
    }
    try {
        StandinPlatform platform;
        asio::io_context context(1);
        tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), *port });
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
        asio::co_spawn(context, acceptLoop(acceptor, platform), asio::detached);
        std::printf("listening on 127.0.0.1:%u\n", static_cast<unsigned>(acceptor.local_endpoint().port()));
        std::fflush(stdout);
        context.run();
    } catch (const boost::system::system_error& error) {
        std::fprintf(stderr, "platform: %s; choose another port\n", error.what());
        return 4;
    }
    return 0;
}
