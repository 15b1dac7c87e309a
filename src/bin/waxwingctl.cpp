// Command line tool for operators: checks, plans and applies documents, shows the state of a roll-out, adds and
// withdraws team keys, and controls maintenance waves.
#include "io/process/operator-commands.h"
#include "io/process/platform-client.h"

#include <waxwinglug/json.h>
#include <waxwinglug/keys.h>
#include <waxwinglug/rollout.h>

#include <fmt/format.h>
#include <getopt.h>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <fstream>
#include <mutex>
#include <sstream>

namespace {

using namespace waxwinglug;

constexpr const char* usage
    = "usage: waxwingctl [--platform HOST:PORT] COMMAND\n"
      "  check FILE                  check a document; needs no platform\n"
      "  plan FILE                   list what the document would change\n"
      "  apply FILE                  propose the document and wait until it is in force\n"
      "  status                      show versions and the nodes that are waited for\n"
      "  key add TEAM ID             generate a key, apply it, print it once\n"
      "  key withdraw TEAM ID        withdraw a key\n"
      "  abandon VERSION             end a proposal that is not accepted\n"
      "  wave ACTION NAME            start, status, resume or cancel a maintenance wave\n"
      "  pools                       show the VMs by pool and phase\n"
      "options:\n"
      "  --platform HOST:PORT        address of the platform\n"
      "  --base VERSION              version that the document was made from; default: current\n"
      "  --exclude DATA-CENTRE       do not wait for the nodes of this data centre; repeatable\n"
      "  --wait SECONDS              longest wait for a roll-out, default 30\n"
      "  --help                      show this text\n"
      "exit codes: 0 ok, 2 usage, 3 invalid document, 4 unavailable, 5 conflict, 6 refused\n";

struct Options {
    std::optional<Endpoint> platform;
    std::optional<std::uint64_t> base;
    std::vector<std::string> excludedDataCentres;
    std::chrono::seconds waitTimeout { 30 };
    bool help = false;
    std::vector<std::string> arguments;
};

Error usageError(std::string_view problem) { return { ErrorKind::Usage, problem, "see waxwingctl --help" }; }

std::int64_t parseNumber(std::string_view text, std::int64_t max)
{
    const auto value = parseInteger(text, 0, max);
    if (!value)
        throw usageError(fmt::format("'{}' is not a number from 0 to {}", text, max));
    return *value;
}

Options parseOptions(int argc, char** argv)
{
    static const option longOptions[]
        = { { "platform", required_argument, nullptr, 'p' }, { "base", required_argument, nullptr, 'b' },
              { "exclude", required_argument, nullptr, 'x' }, { "wait", required_argument, nullptr, 'w' },
              { "help", no_argument, nullptr, 'h' }, { nullptr, 0, nullptr, 0 } };
    Options options;
    for (int choice = 0; (choice = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (choice == 'p') {
            options.platform = parseEndpoint(optarg);
            if (!options.platform)
                throw usageError(fmt::format("'{}' is not HOST:PORT with an IP address", optarg));
        } else if (choice == 'b') {
            options.base = static_cast<std::uint64_t>(parseNumber(optarg, INT64_MAX));
        } else if (choice == 'x') {
            options.excludedDataCentres.emplace_back(optarg);
        } else if (choice == 'w') {
            options.waitTimeout = std::chrono::seconds(parseNumber(optarg, 86'400));
        } else if (choice == 'h') {
            options.help = true;
        } else {
            throw usageError("unknown option");
        }
    }
    options.arguments.assign(argv + optind, argv + argc);
    return options;
}

std::string readFile(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
        throw Error(ErrorKind::Invalid, fmt::format("cannot read {}", path), "check the path and its permissions");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Queue of handlers of platform calls. The client's thread adds them, and the main thread runs them.
class HandlerLoop {
public:
    void post(std::function<void()> handler)
    {
        const std::lock_guard lock(this->mutex);
        this->handlers.push_back(std::move(handler));
        this->wake.notify_one();
    }

    void runOnce(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(this->mutex);
        this->wake.wait_for(lock, timeout, [this] { return !this->handlers.empty(); });
        while (!this->handlers.empty()) {
            const auto handler = std::move(this->handlers.front());
            this->handlers.pop_front();
            lock.unlock();
            handler();
            lock.lock();
        }
    }

private:
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::function<void()>> handlers;
};

class Tool {
public:
    explicit Tool(Options toolOptions)
        : options(std::move(toolOptions))
        , random((std::uint64_t { std::random_device()() } << 32U) | std::random_device()())
        , client(this->options.platform.value(),
              [this](std::function<void()> handler) { this->handlerLoop.post(handler); })
        , coordinator(this->client.platform(), systemClock(), this->random)
    {
    }

    void plan(const std::string& document)
    {
        const auto current = this->current();
        for (const auto& change : diffConfig(current.document, document)) {
            static constexpr const char* names[] = { "added", "removed", "changed" };
            fmt::print("{} [{}] {} '{}' -> '{}'\n", names[static_cast<int>(change.kind)], change.section, change.key,
                change.before, change.after);
        }
        fmt::print("base version {}\n", current.version);
    }

    void apply(const std::string& document) { this->apply(document, this->current().version); }

    void addKey(const std::string& team, const std::string& id)
    {
        const auto current = this->current();
        const auto generated = generateKey();
        const auto document = addTeamKey(current.document, team, id, generated.hash);
        const auto version = this->propose(document, current.version);
        // The key is printed before the wait, because it cannot be recovered if the wait is interrupted.
        fmt::print("{}\n", generated.key);
        std::fflush(stdout);
        this->waitInForce(version);
    }

    void withdrawKey(const std::string& team, const std::string& id)
    {
        const auto current = this->current();
        this->apply(revokeTeamKey(current.document, team, id), current.version);
    }

    void abandon(std::uint64_t version)
    {
        this->runRollout([&](auto done) { this->coordinator.abandon(version, done); });
        fmt::print("version {} abandoned\n", version);
    }

    void showStatus()
    {
        static constexpr const char* states[] = { "open", "accepted", "abandoned" };
        const auto status = this->status();
        fmt::print("current version {}\n", status.currentVersion);
        if (status.proposal)
            fmt::print("proposal {} {}\n", status.proposal->version, states[static_cast<int>(status.proposal->state)]);
        for (const auto& node : status.nodes)
            fmt::print("node {} in {}: in force {}, held {}\n", node.name, node.dataCentre, node.activeVersion,
                node.preparedVersion);
        for (const auto& name : status.pendingNodes)
            fmt::print("waiting for {}\n", name);
    }

    void wave(std::string_view action, const std::string& name)
    {
        fmt::print(
            "{}", io::runWaveCommand(this->table(), this->currentConfig(), action, name, systemClock().wallNow()));
    }

    void showPools() { fmt::print("{}", io::describePools(this->table(), this->currentConfig())); }

private:
    struct CurrentDocument {
        std::uint64_t version = 0;
        std::string document;
    };

    // Starts an asynchronous call and runs handlers until the call has a result.
    template <typename T, typename Start> T waitForResult(Start start)
    {
        const auto result = std::make_shared<std::optional<T>>();
        start([result](T value) { *result = std::move(value); });
        while (!*result)
            this->handlerLoop.runOnce(std::chrono::milliseconds(100));
        return std::move(**result);
    }

    template <typename T> static T requireAnswer(std::optional<T> value)
    {
        if (!value)
            throw Error(ErrorKind::Unavailable, "the platform does not answer", "check --platform or try again later");
        return std::move(*value);
    }

    CurrentDocument current()
    {
        using Rows = std::optional<std::vector<Row>>;
        const auto rows = requireAnswer(this->waitForResult<Rows>(
            [&](auto done) { this->client.platform().table.read({ "config/current" }, done); }));
        if (rows.at(0).version == 0)
            return {};
        const auto version = fromJson<Json>(rows.at(0).value).at("version").get<std::uint64_t>();
        using Content = std::optional<std::string>;
        return { version, requireAnswer(this->waitForResult<Content>([&](auto done) {
                    this->client.platform().objects.get(fmt::format("config/{}", version), done);
                })) };
    }

    Config currentConfig() { return parseConfig(this->current().document, "config/current"); }

    io::BlockingTable table()
    {
        using Rows = std::optional<std::vector<Row>>;
        const auto hooks = this->client.platform().table;
        return {
            [this, hooks](const std::vector<std::string>& keys) {
                return requireAnswer(this->waitForResult<Rows>([&](auto done) { hooks.read(keys, done); }));
            },
            [this, hooks](const std::string& prefix) {
                return requireAnswer(this->waitForResult<Rows>([&](auto done) { hooks.scan(prefix, done); }));
            },
            [this, hooks](const std::vector<RowWrite>& writes) {
                return this->waitForResult<CommitResult>([&](auto done) { hooks.commit(writes, done); });
            },
        };
    }

    RolloutStatus status()
    {
        return requireAnswer(
            this->waitForResult<std::optional<RolloutStatus>>([&](auto done) { this->coordinator.status(done); }));
    }

    // Runs a call of the coordinator and returns the version, or throws the error that the call reports.
    template <typename Start> std::uint64_t runRollout(Start start)
    {
        using Result = std::pair<std::optional<Error>, std::uint64_t>;
        const auto result = this->waitForResult<Result>([&](auto done) {
            start([done](std::optional<Error> error, std::uint64_t version) { done({ std::move(error), version }); });
        });
        if (result.first)
            throw Error(*result.first);
        return result.second;
    }

    std::uint64_t propose(const std::string& document, std::uint64_t base)
    {
        return this->runRollout([&](auto done) {
            this->coordinator.propose(
                document, this->options.base.value_or(base), this->options.excludedDataCentres, done);
        });
    }

    void apply(const std::string& document, std::uint64_t base) { this->waitInForce(this->propose(document, base)); }

    void waitInForce(std::uint64_t version)
    {
        const auto end = std::chrono::steady_clock::now() + this->options.waitTimeout;
        RolloutStatus status;
        while (std::chrono::steady_clock::now() < end) {
            this->coordinator.tick();
            status = this->status();
            if (status.currentVersion >= version && status.outdatedNodes.empty()) {
                fmt::print("version {} in force\n", version);
                return;
            }
            if (status.proposal && status.proposal->version == version
                && status.proposal->state == ProposalState::Abandoned)
                throw Error(ErrorKind::Conflict, fmt::format("version {} was abandoned", version), "see the status");
            this->handlerLoop.runOnce(std::chrono::milliseconds(100));
        }
        const auto& names = status.currentVersion >= version ? status.outdatedNodes : status.pendingNodes;
        throw Error(ErrorKind::Unavailable,
            fmt::format("version {} is {}, waiting for {}", version,
                status.currentVersion >= version ? "accepted but not in force everywhere" : "proposed but not accepted",
                fmt::join(names, ", ")),
            "see the status, exclude a data centre or abandon the version");
    }

    Options options;
    Random random;
    HandlerLoop handlerLoop;
    io::PlatformClient client;
    RolloutCoordinator coordinator;
};

void run(const Options& options)
{
    const auto& arguments = options.arguments;
    const auto command = arguments.empty() ? std::string() : arguments[0];
    const auto isCommand
        = [&](std::string_view name, std::size_t count) { return command == name && arguments.size() == count; };
    const bool isKeyCommand = isCommand("key", 4) && (arguments[1] == "add" || arguments[1] == "withdraw");
    const bool isWaveCommand = isCommand("wave", 3) && io::isWaveAction(arguments[1]);
    if (!isCommand("check", 2) && !isCommand("plan", 2) && !isCommand("apply", 2) && !isCommand("status", 1)
        && !isCommand("abandon", 2) && !isKeyCommand && !isWaveCommand && !isCommand("pools", 1))
        throw usageError("unknown command or wrong number of arguments");
    std::string document;
    if (isCommand("check", 2) || isCommand("plan", 2) || isCommand("apply", 2)) {
        document = readFile(arguments[1]);
        parseConfig(document, arguments[1]);
        if (command == "check") {
            fmt::print("{}: no problems\n", arguments[1]);
            return;
        }
    }
    if (!options.platform)
        throw usageError("--platform is missing");
    Tool tool(options);
    if (command == "plan")
        tool.plan(document);
    else if (command == "apply")
        tool.apply(document);
    else if (command == "status")
        tool.showStatus();
    else if (command == "abandon")
        tool.abandon(static_cast<std::uint64_t>(parseNumber(arguments[1], INT64_MAX)));
    else if (command == "wave")
        tool.wave(arguments[1], arguments[2]);
    else if (command == "pools")
        tool.showPools();
    else if (arguments[1] == "add")
        tool.addKey(arguments[2], arguments[3]);
    else
        tool.withdrawKey(arguments[2], arguments[3]);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const auto options = parseOptions(argc, argv);
        if (options.help)
            fmt::print("{}", usage);
        else
            run(options);
    } catch (const Error& error) {
        fmt::print(stderr, "waxwingctl: {}\n", error.what());
        return exitCode(error.kind());
    }
    return 0;
}
