// Measures the cost of one configuration change in calls, rows, bytes and processor time, by the number of nodes, VMs
// and changed VMs. Counts are deterministic; processor times depend on the machine. Usage: configuration
#include <waxwinglug/rollout.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>

namespace {

using namespace waxwinglug;

// An in-memory table and object store that count network traffic. They are always available.
struct CountingPlatform {
    std::map<std::string, Row> rows;
    std::map<std::string, std::string> objects;
    std::uint64_t lastVersion = 0;
    std::size_t readCount = 0;
    std::size_t rowsRead = 0;
    std::size_t commitCount = 0;
    std::size_t bytes = 0; // keys and values of rows, and objects, without HTTP and JSON overhead
    std::deque<std::function<void()>> handlers;

    Row row(const std::string& key) const
    {
        const auto found = this->rows.find(key);
        return found == this->rows.end() ? Row { key, "", 0 } : found->second;
    }

    void count(const std::vector<Row>& found)
    {
        ++this->readCount;
        this->rowsRead += found.size();
        for (const auto& each : found)
            this->bytes += each.key.size() + each.value.size();
    }

    CommitResult commit(const std::vector<RowWrite>& writes)
    {
        ++this->commitCount;
        CommitResult result { CommitStatus::Committed, {} };
        for (const auto& write : writes) {
            this->bytes += write.key.size() + write.value.value_or("").size();
            if (this->row(write.key).version != write.expectedVersion)
                result.conflicts.push_back(this->row(write.key));
        }
        if (!result.conflicts.empty()) {
            result.status = CommitStatus::Conflict;
            return result;
        }
        for (const auto& write : writes) {
            if (write.value)
                this->rows[write.key] = { write.key, *write.value, ++this->lastVersion };
            else
                this->rows.erase(write.key);
        }
        return result;
    }

    Platform platform()
    {
        Platform hooks;
        hooks.table.read = [this](std::vector<std::string> keys, RowsHandler handler) {
            std::vector<Row> found;
            found.reserve(keys.size());
            for (const auto& key : keys)
                found.push_back(this->row(key));
            this->count(found);
            this->handlers.push_back([found, handler] { handler(found); });
        };
        hooks.table.scan = [this](std::string prefix, RowsHandler handler) {
            std::vector<Row> found;
            for (auto at = this->rows.lower_bound(prefix); at != this->rows.end() && at->first.starts_with(prefix);
                 ++at)
                found.push_back(at->second);
            this->count(found);
            this->handlers.push_back([found, handler] { handler(found); });
        };
        hooks.table.commit = [this](std::vector<RowWrite> writes, CommitHandler handler) {
            this->handlers.push_back([result = this->commit(writes), handler] { handler(result); });
        };
        hooks.objects.put = [this](std::string name, std::string content, std::function<void(bool)> handler) {
            this->bytes += content.size();
            this->objects[name] = std::move(content);
            this->handlers.push_back([handler] { handler(true); });
        };
        hooks.objects.get = [this](std::string name, std::function<void(std::optional<std::string>)> handler) {
            const auto found = this->objects.find(name);
            auto content = found == this->objects.end() ? std::nullopt : std::optional(found->second);
            this->bytes += content.value_or("").size();
            this->handlers.push_back([content, handler] { handler(content); });
        };
        hooks.vms.list = [this](std::function<void(std::optional<std::vector<VmStatus>>)> handler) {
            this->handlers.push_back([handler] { handler(std::vector<VmStatus> {}); });
        };
        return hooks;
    }

    void deliver()
    {
        while (!this->handlers.empty()) {
            const auto handler = std::move(this->handlers.front());
            this->handlers.pop_front();
            handler();
        }
    }
};

// Returns a document with VMs distributed over at most 342 pools; the first `changedVms` VMs have 16 slots instead
// of 8.
std::string document(int vms, int changedVms)
{
    const int pools = std::min(vms, 342);
    std::string text = "[document]\nname = bench\n[service s]\n";
    for (int i = 0; i < pools; ++i)
        text += fmt::format("[pool p{}]\nservice = s\nmin-available = 70%\n", i);
    for (int i = 0; i < vms; ++i) {
        text += fmt::format(
            "[vm v{}]\npool = p{}\ndata-centre = dc{}\nrack = r{}\naddress = 10.0.{}.{}:9001\nslots = {}\n", i,
            i % pools, i % 4, i / 4, i / 250, i % 250, i < changedVms ? 16 : 8);
    }
    for (int i = 0; i < 29; ++i)
        text += fmt::format("[team t{}]\nshare = 3\nlimit = 50\nservices = s\nkey = a:{:064x}\n", i, i);
    return text;
}

double elapsedMs(std::chrono::steady_clock::time_point since)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - since).count();
}

void measure(std::size_t nodeCount, int vms, int changedVms)
{
    CountingPlatform platform;
    ManualClock clock;
    Random random(1);
    RolloutCoordinator coordinator(platform.platform(), clock.clock(), random);
    std::vector<std::unique_ptr<ConfigFollower>> nodes;
    nodes.reserve(nodeCount);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<ConfigFollower>(
            FollowerSettings { { fmt::format("e{}", i), 1 }, fmt::format("dc{}", i % 4), Isolation::Serve },
            platform.platform(), clock.clock(), random, ConfigFollower::Hooks {}));
    }
    std::uint64_t target = 0;
    const auto rollOut = [&](const std::string& text, std::uint64_t base) {
        bool proposed = false;
        const auto start = clock.now();
        const auto done = [&](std::uint64_t version) {
            return proposed && std::all_of(nodes.begin(), nodes.end(), [version](const auto& node) {
                return node->versions().active == version;
            });
        };
        while (!done(base + 1)) {
            if (!proposed && target == base) {
                coordinator.propose(text, base, {}, [&](const auto& error, std::uint64_t) { proposed = !error; });
                platform.deliver();
            }
            target = proposed ? base + 1 : base;
            clock.advance(std::chrono::milliseconds(100));
            for (auto& node : nodes)
                node->tick();
            coordinator.tick();
            platform.deliver();
        }
        return clock.now() - start;
    };
    rollOut(document(vms, 0), 0);
    for (int i = 0; i < 30; ++i) {
        clock.advance(std::chrono::milliseconds(100));
        for (auto& node : nodes)
            node->tick();
        platform.deliver();
    }
    const auto before = platform.bytes;
    platform.readCount = platform.rowsRead = platform.commitCount = 0;
    const auto start = std::chrono::steady_clock::now();
    const auto duration = rollOut(document(vms, changedVms), 1);
    const double processorMs = elapsedMs(start);
    fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1f} |\n", nodeCount, vms, document(vms, 0).size(),
        changedVms, platform.readCount, platform.rowsRead, platform.commitCount, platform.bytes - before,
        duration.count(), processorMs);
}

} // namespace

int main()
{
    fmt::print("| nodes | VMs | document bytes | changed VMs | reads | rows read | commits | bytes | simulated ms | "
               "processor ms |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const std::size_t nodes : { 8, 24, 72 }) {
        for (const int vms : { 50, 200, 850 })
            measure(nodes, vms, 1);
    }
    for (const int changedVms : { 10, 50 })
        measure(24, 850, changedVms);
    return 0;
}
