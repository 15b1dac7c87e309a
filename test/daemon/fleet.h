// Starts the real binaries and the stand-ins on loopback for process tests. Every process ends with the fixture.
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
    // The program is a path below the build directory. Output goes to the file `log`.
    Process(const std::string& program, const std::vector<std::string>& arguments, std::filesystem::path log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    // Waits for the end; returns the exit code, or -1 after a signal.
    int waitForExit();
    // Waits until the output contains "listening on 127.0.0.1:" and returns the port.
    std::uint16_t port() const;
    std::string output() const;

private:
    pid_t pid = -1;
    std::filesystem::path logFile;
};

// Sends one request on a connection of its own and returns the whole answer. Status 0: no whole answer.
io::HttpResponse exchange(std::uint16_t port, const io::HttpRequest& request);

// Repeats the condition until it holds; fails the test after a minute.
void waitUntil(std::string_view what, const std::function<bool()>& condition);

// A port that nothing listens on now. Programs that must know each other's addresses before they start need it.
std::uint16_t freePort();

// One platform, backend servers q01, q02, ... of the service "quoting" in data centre dc1, and entry VMs.
class Fleet {
public:
    explicit Fleet(int backendCount = 2, std::string backendDelayMs = "5");
    ~Fleet();

    // Adds an entry VM; waits until it is ready when a document is in force.
    void addEntry(const std::string& name, const std::string& dataCentre = "dc1");
    void stopEntry(const std::string& name) { this->entries.erase(name); }
    Process& entry(const std::string& name) { return *this->entries.at(name).process; }
    std::uint16_t entryPort(const std::string& name) const { return this->entries.at(name).callers; }
    // Runs waxwingctl and returns its exit code; the output is kept in `lastOutput`.
    int runWaxwingctl(const std::vector<std::string>& arguments);
    // Output of `waxwingctl status`; may be called from another thread than ctl().
    std::string rolloutStatus();
    // The document of this fleet with these extra lines, as a file.
    std::string writeDocument(const std::string& extra = {}, const std::string& minAvailable = "0%");
    // Applies the document and waits until it is in force.
    void apply(const std::string& extra = {}, const std::string& minAvailable = "0%");
    // Puts the backend servers' VMs on the platform's list, live with incarnation 1.
    void setVmList() const;
    std::uint64_t vmIncarnation(const std::string& vm) const;
    // Starts a maintenance daemon and waits until it answers operators; returns their port.
    std::uint16_t addMaintainer(const std::string& name);

    io::HttpResponse get(const std::string& entryName, const std::string& key);
    io::HttpResponse post(const std::string& entryName, const std::string& key, const std::string& body,
        const io::HttpHeaders& extra = {});
    // GET of the operators' address: /health, /status or /metrics.
    io::HttpResponse getOperatorPath(const std::string& entryName, const std::string& path) const;
    Json backendStats(int index) const;
    void setBackendMode(int index, const std::string& mode) const;
    Process& backend(int index) { return *this->backends.at(static_cast<std::size_t>(index)); }
    // Body of POST /control/faults of the stand-in platform.
    void setPlatformFaults(const std::string& json) const;
    // How often backend servers ran a request with this body.
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

    // Exit code and output of waxwingctl.
    std::pair<int, std::string> callWaxwingctl(const std::vector<std::string>& arguments);

    std::filesystem::path directory;
    std::unique_ptr<Process> platform;
    std::vector<std::unique_ptr<Process>> backends;
    std::map<std::string, Entry> entries;
    std::map<std::string, std::unique_ptr<Process>> maintainers;
    // Peer addresses of all entry VMs so far, as seeds of the next.
    std::string seeds;
    std::atomic<int> waxwingctlRunCount = 0;
};

} // namespace waxwinglug::test
