// Runs the daemons, the stand-in platform and stand-in backend servers on loopback for process tests. All processes are
// killed when their object is destroyed.
#pragma once

#include "io/connection/http-message.h"

#include <waxwinglug/json.h>

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::test {

// A child process; killed and waited for when the object is destroyed.
class Process {
public:
    // `program` is a path relative to the build directory. Standard output and standard error go to the file `log`.
    Process(const std::string& program, const std::vector<std::string>& arguments, std::filesystem::path log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    // Waits for the process to end. Returns its exit code, or -1 if a signal ended it.
    int waitForExit();
    // Waits until the output contains "listening on 127.0.0.1:" and returns the port.
    std::uint16_t port() const;
    std::string output() const;

private:
    pid_t pid = -1;
    std::filesystem::path logFile;
};

// Sends one request on a new connection and returns the response. Status 0 means that no complete response arrived.
io::HttpResponse exchange(std::uint16_t port, const io::HttpRequest& request);

// Polls until the condition holds. Throws std::runtime_error, which fails the test, after one minute.
void waitUntil(std::string_view what, const std::function<bool()>& condition);

// Returns a port without a listener, for programs whose addresses must be known before they start.
std::uint16_t freePort();

// One stand-in platform, backend servers q01, q02, ... of the service "quoting" in data centre dc1, and entry VMs.
class Fleet {
public:
    explicit Fleet(int backendCount = 2, std::string backendDelayMs = "5");
    ~Fleet();

    // Starts an entry VM and waits until its health check passes.
    void addEntry(const std::string& name, const std::string& dataCentre = "dc1");
    void stopEntry(const std::string& name) { this->entries.erase(name); }
    Process& entry(const std::string& name) { return *this->entries.at(name).process; }
    std::uint16_t entryPort(const std::string& name) const { return this->entries.at(name).callers; }
    // Runs waxwingctl and returns its exit code. Stores the output in `lastOutput`.
    int runWaxwingctl(const std::vector<std::string>& arguments);
    // Returns the output of `waxwingctl status`. May be called concurrently with runWaxwingctl().
    std::string rolloutStatus();
    // Writes the document of this fleet with the extra lines to a file and returns its path.
    std::string writeDocument(const std::string& extra = {}, const std::string& minAvailable = "0%");
    // Applies the document and waits until it is active on all entry VMs.
    void apply(const std::string& extra = {}, const std::string& minAvailable = "0%");
    // Sets the platform's VM list to the VMs of the backend servers, all live with incarnation 1.
    void setVmList() const;
    std::uint64_t vmIncarnation(const std::string& vm) const;
    // Starts a maintenance daemon and waits until its health check passes. Returns the port of its operator server.
    std::uint16_t addMaintainer(const std::string& name);

    io::HttpResponse get(const std::string& entryName, const std::string& key);
    io::HttpResponse post(const std::string& entryName, const std::string& key, const std::string& body,
        const io::HttpHeaders& extra = {});
    // Sends GET /health, /status or /metrics to the operator server of an entry VM.
    io::HttpResponse getOperatorPath(const std::string& entryName, const std::string& path) const;
    Json backendStats(int index) const;
    void setBackendMode(int index, const std::string& mode) const;
    Process& backend(int index) { return *this->backends.at(static_cast<std::size_t>(index)); }
    // Sends the JSON text as POST /control/faults to the stand-in platform.
    void setPlatformFaults(const std::string& json) const;
    // Returns how often the backend servers ran a request with this body.
    int runCount(const std::string& body) const;

    const std::string northKey = "key-of-north-0123456789";
    std::string lastOutput;

private:
    struct Entry {
        std::unique_ptr<Process> process;
        std::uint16_t callers = 0;
        std::uint16_t peers = 0;
        std::uint16_t operators = 0;
    };

    // Runs waxwingctl and returns its exit code and output.
    std::pair<int, std::string> callWaxwingctl(const std::vector<std::string>& arguments);

    std::filesystem::path directory;
    std::unique_ptr<Process> platform;
    std::vector<std::unique_ptr<Process>> backends;
    std::map<std::string, Entry> entries;
    std::map<std::string, std::unique_ptr<Process>> maintainers;
    // Peer addresses of all entry VMs started so far; the seeds of the next one.
    std::string seeds;
    std::atomic<int> waxwingctlRunCount = 0;
};

} // namespace waxwinglug::test
