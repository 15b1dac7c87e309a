// Child processes and HTTP for process tests.
#include "daemon/fleet.h"

#include "support/raw-connection.h"

#include <waxwinglug/keys.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

extern char** environ;

namespace waxwinglug::test {
namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(20);

    std::string readText(const std::filesystem::path& file)
    {
        const std::ifstream input(file);
        std::ostringstream text;
        text << input.rdbuf();
        return text.str();
    }

    std::string writeText(const std::filesystem::path& file, const std::string& text)
    {
        std::ofstream(file) << text;
        return file.string();
    }

} // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments, std::filesystem::path log)
    : logFile(std::move(log))
{
    const std::string path = std::string(WAXWINGLUG_BUILD_DIR "/") + program;
    std::vector<std::string> words { path };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, this->logFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&this->pid, path.c_str(), &actions, nullptr, argv.data(), environ) != 0)
        this->pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    EXPECT_GT(this->pid, 0) << path;
}

Process::~Process()
{
    if (this->pid <= 0)
        return;
    this->signal(SIGKILL);
    this->waitForExit();
}

void Process::signal(int number) const
{
    if (this->pid > 0)
        ::kill(this->pid, number);
}

int Process::waitForExit()
{
    int status = 0;
    if (this->pid <= 0 || ::waitpid(this->pid, &status, 0) != this->pid)
        return -1;
    this->pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::uint16_t Process::port() const
{
    constexpr std::string_view text = "listening on 127.0.0.1:";
    std::size_t found = std::string::npos;
    std::string output;
    waitUntil("the program listens", [&] {
        output = this->output();
        found = output.find(text);
        return found != std::string::npos && output.find('\n', found) != std::string::npos;
    });
    return static_cast<std::uint16_t>(std::stoi(output.substr(found + text.size())));
}

std::string Process::output() const { return readText(this->logFile); }

void waitUntil(std::string_view what, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error(fmt::format("not reached: {}", what));
        std::this_thread::sleep_for(pollInterval);
    }
}

std::uint16_t freePort()
{
    // Below the system's range for ports of outgoing connections (32768 to 60999). A port from that range could be
    // taken by another connection between this call and the start of the program that listens on it.
    constexpr int first = 20000;
    constexpr int count = 10000;
    static int next = ::getpid() % (count / 10) * 10;
    boost::asio::io_context context;
    for (int tries = 0; tries < count; ++tries) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        tcp::acceptor acceptor(context, tcp::v4());
        boost::system::error_code error;
        acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
        if (!error)
            return port;
    }
    throw std::runtime_error("no free port on loopback");
}

io::HttpResponse exchange(std::uint16_t port, const io::HttpRequest& request)
{
    namespace http = boost::beast::http;
    boost::asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({ boost::asio::ip::address_v4::loopback(), port }, error);
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, "localhost");
    message.set(http::field::connection, "close");
    for (const auto& [name, value] : request.headers)
        message.insert(name, value);
    message.body() = request.body;
    message.prepare_payload();
    http::response<http::string_body> answer;
    boost::beast::flat_buffer buffer;
    if (!error)
        http::write(socket, message, error);
    if (!error)
        http::read(socket, buffer, answer, error);
    if (error)
        return { 0, {}, error.message() };
    io::HttpResponse response { static_cast<int>(answer.result_int()), {}, answer.body() };
    for (const auto& field : answer)
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return response;
}

Fleet::Fleet(int backendCount, std::string backendDelayMs)
{
    std::string name = (std::filesystem::temp_directory_path() / "waxwinglug-XXXXXX").string();
    this->directory = ::mkdtemp(name.data());
    this->platform = std::make_unique<Process>(
        "test/standin-platform", std::vector<std::string> { "--port", "0" }, this->directory / "platform.log");
    for (int i = 0; i < backendCount; ++i) {
        const auto server = fmt::format("q{:02}", i + 1);
        this->backends.push_back(std::make_unique<Process>("test/standin-backend",
            std::vector<std::string> { "--name", server, "--delay-ms", backendDelayMs },
            this->directory / (server + ".log")));
    }
}

Fleet::~Fleet()
{
    if (testing::Test::HasFailure()) {
        for (const auto& [name, entry] : this->entries)
            fmt::print("--- log of {}\n{}\n", name, entry.process->output());
        for (const auto& [name, process] : this->maintainers)
            fmt::print("--- log of {}\n{}\n", name, process->output());
    }
    this->maintainers.clear();
    this->entries.clear();
    this->backends.clear();
    this->platform.reset();
    std::filesystem::remove_all(this->directory);
}

void Fleet::addEntry(const std::string& name, const std::string& dataCentre)
{
    Entry entry { nullptr, freePort(), freePort(), freePort() };
    const auto settings = fmt::format("[node]\nname = {}\ndata-centre = {}\n[listen]\ncallers = 127.0.0.1:{}\n"
                                      "peers = 127.0.0.1:{}\noperators = 127.0.0.1:{}\n[platform]\naddress = "
                                      "127.0.0.1:{}\n[peers]\nseeds = {}\nsecret = {}\n",
        name, dataCentre, entry.callers, entry.peers, entry.operators, this->platform->port(), this->seeds,
        std::string(32, 's'));
    const auto file = writeText(this->directory / (name + ".ini"), settings);
    entry.process = std::make_unique<Process>(
        "waxwing-entry", std::vector<std::string> { file }, this->directory / (name + ".log"));
    this->seeds += fmt::format("{}127.0.0.1:{}", this->seeds.empty() ? "" : ", ", entry.peers);
    this->entries[name] = std::move(entry);
    waitUntil(name + " is healthy", [&] { return this->getOperatorPath(name, "/health").status == 200; });
}

std::pair<int, std::string> Fleet::callWaxwingctl(const std::vector<std::string>& arguments)
{
    std::vector<std::string> all { "--platform", fmt::format("127.0.0.1:{}", this->platform->port()) };
    all.insert(all.end(), arguments.begin(), arguments.end());
    Process process("waxwingctl", all, this->directory / fmt::format("ctl-{}.log", ++this->waxwingctlRunCount));
    const int code = process.waitForExit();
    return { code, process.output() };
}

int Fleet::runWaxwingctl(const std::vector<std::string>& arguments)
{
    auto [code, output] = this->callWaxwingctl(arguments);
    this->lastOutput = std::move(output);
    return code;
}

std::string Fleet::rolloutStatus() { return this->callWaxwingctl({ "status" }).second; }

void Fleet::setVmList() const
{
    auto vms = Json::array();
    for (std::size_t i = 0; i < this->backends.size(); ++i)
        vms.push_back({ { "name", fmt::format("q{:02}", i + 1) }, { "state", "live" }, { "incarnation", 1 } });
    const Json body = { { "vms", vms } };
    const auto answer = exchange(this->platform->port(), { "POST", "/control/vms", {}, body.dump() });
    ASSERT_EQ(answer.status, 200) << answer.body;
}

std::uint64_t Fleet::vmIncarnation(const std::string& vm) const
{
    const auto answer = exchange(this->platform->port(), { "GET", "/vms", {}, "" });
    const auto list = Json::parse(answer.body);
    for (const auto& each : list.at("vms")) {
        if (each.at("name") == vm)
            return each.at("incarnation").get<std::uint64_t>();
    }
    return 0;
}

std::uint16_t Fleet::addMaintainer(const std::string& name)
{
    const auto port = freePort();
    const auto settings = fmt::format("[node]\nname = {}\ndata-centre = dc1\n[listen]\noperators = 127.0.0.1:{}\n"
                                      "[platform]\naddress = 127.0.0.1:{}\n[lease]\nduration = 3s\n"
                                      "[maintain]\nstep = 200ms\nslow-start = 1s\n",
        name, port, this->platform->port());
    const auto file = writeText(this->directory / (name + ".ini"), settings);
    this->maintainers[name] = std::make_unique<Process>(
        "waxwing-maintain", std::vector<std::string> { file }, this->directory / (name + ".log"));
    waitUntil(name + " is healthy", [&] { return exchange(port, { "GET", "/health", {}, "" }).status == 200; });
    return port;
}

std::string Fleet::writeDocument(const std::string& extra, const std::string& minAvailable)
{
    std::string text = "[document]\nname = test\n"
                       "[service quoting]\nclass = interactive\ndeadline = 10s\nlongest-run = 2s\nbody-limit = 64KiB\n"
                       "[service notes]\nopen = yes\n"
                       "[pool notes]\nservice = notes\nmin-available = 0%\nmin-vms = 0\n";
    text += fmt::format("[pool quoting]\nservice = quoting\nmin-available = {}\nmin-vms = 0\n", minAvailable);
    for (std::size_t i = 0; i < this->backends.size(); ++i) {
        text += fmt::format("[vm q{:02}]\npool = quoting\ndata-centre = dc1\nrack = r{}\naddress = 127.0.0.1:{}\n",
            i + 1, i, this->backends[i]->port());
    }
    text += fmt::format(
        "[team north]\nshare = 50\nlimit = 6\nservices = quoting\nkey = a:{}\n", hashKey(this->northKey));
    return writeText(this->directory / "document.ini", text + extra);
}

void Fleet::apply(const std::string& extra, const std::string& minAvailable)
{
    const int code = this->runWaxwingctl({ "apply", this->writeDocument(extra, minAvailable) });
    ASSERT_EQ(code, 0) << this->lastOutput;
}

io::HttpResponse Fleet::get(const std::string& entryName, const std::string& teamKey)
{
    return exchange(this->entryPort(entryName),
        { "GET", "/q/quoting/price", { { "Waxwing-Team", "north" }, { "Waxwing-Key", teamKey } }, "" });
}

io::HttpResponse Fleet::post(
    const std::string& entryName, const std::string& teamKey, const std::string& body, const io::HttpHeaders& extra)
{
    io::HttpHeaders headers { { "Waxwing-Team", "north" }, { "Waxwing-Key", teamKey } };
    headers.insert(headers.end(), extra.begin(), extra.end());
    return exchange(this->entryPort(entryName), { "POST", "/q/quoting/sheet", headers, body });
}

io::HttpResponse Fleet::getOperatorPath(const std::string& entryName, const std::string& path) const
{
    return exchange(this->entries.at(entryName).operators, { "GET", path, {}, "" });
}

Json Fleet::backendStats(int index) const
{
    const auto port = this->backends.at(static_cast<std::size_t>(index))->port();
    const auto answer = exchange(port, { "GET", "/standin/stats", {}, "" });
    return answer.status == 200 ? Json::parse(answer.body) : Json();
}

void Fleet::setBackendMode(int index, const std::string& mode) const
{
    exchange(this->backends.at(static_cast<std::size_t>(index))->port(), { "POST", "/standin/mode", {}, mode });
}

void Fleet::setPlatformFaults(const std::string& json) const
{
    const auto answer = exchange(this->platform->port(), { "POST", "/control/faults", {}, json });
    ASSERT_EQ(answer.status, 200) << answer.body;
}

int Fleet::runCount(const std::string& body) const
{
    int sum = 0;
    for (std::size_t i = 0; i < this->backends.size(); ++i)
        sum += this->backendStats(static_cast<int>(i)).value(Json::json_pointer("/runsByBody/" + body), 0);
    return sum;
}

} // namespace waxwinglug::test
