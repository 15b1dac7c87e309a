// In-memory platform with injectable faults: unavailability, lost commit answers and delayed answers.
#pragma once

#include <waxwinglug/platform.h>

#include <deque>
#include <map>

namespace waxwinglug::test {

class FakePlatform {
public:
    // Returns hooks that refer to this object. Handlers are queued until deliver() or deliverOne() runs them.
    Platform platform();

    // Runs queued handlers in order, including those queued meanwhile, until the queue is empty.
    void deliver();
    // Runs the queued handler at the index modulo the queue length, which allows reordering. Returns false if the queue
    // was empty.
    bool deliverOne(std::size_t index = 0);
    // Drops the queued handlers, as if the process that waits for them had terminated.
    void dropAnswers() { this->queue.clear(); }

    // Direct access for assertions; not counted as a read or a commit.
    Row row(const std::string& key) const;
    void set(const std::string& key, std::string value);

    // Reads fail, writes are not applied.
    bool isUnavailable = false;
    // Commits are applied, but their result is Unknown.
    bool loseCommitAnswers = false;
    std::vector<VmStatus> vms;
    std::map<std::string, Row> rows;
    std::map<std::string, std::string> objects;
    // Number of calls since construction.
    int readCount = 0;
    int commitCount = 0;
    std::vector<std::string> rebootedVms;
    std::vector<std::string> checkpointedVms;

private:
    void enqueue(std::function<void()> handler) { this->queue.push_back(std::move(handler)); }
    CommitResult commit(const std::vector<RowWrite>& writes);

    std::deque<std::function<void()>> queue;
    // All rows share one version counter, so a row that is deleted and created again never reuses a version.
    std::uint64_t lastVersion = 0;
};

} // namespace waxwinglug::test
