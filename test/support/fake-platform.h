// An in-memory platform with faults that tests switch on: down, answer lost after the write, delayed answers.
#pragma once

#include <waxwinglug/platform.h>

#include <deque>
#include <map>

namespace waxwinglug::test {

class FakePlatform {
public:
    // Hooks that refer to this object. Handlers wait in a queue until deliver() or deliverOne() runs them.
    Platform platform();

    // Runs queued handlers in order, those queued meanwhile too, until none is left.
    void deliver();
    // Runs one queued handler, chosen by index modulo the queue length, to produce reordering. False: none was left.
    bool deliverOne(std::size_t index = 0);
    // Drops the queued handlers, as when the process that waits for them has ended.
    void dropAnswers() { this->queue.clear(); }

    // Direct access for assertions; does not count as a read.
    Row row(const std::string& key) const;
    void set(const std::string& key, std::string value);

    // Reads fail, writes are not applied.
    bool isUnavailable = false;
    // Commits are applied, but their answer is Unknown.
    bool loseCommitAnswers = false;
    std::vector<VmStatus> vms;
    std::map<std::string, Row> rows;
    std::map<std::string, std::string> objects;
    // Counters since the start.
    int readCount = 0;
    int commitCount = 0;
    std::vector<std::string> rebootedVms;
    std::vector<std::string> checkpointedVms;

private:
    void enqueue(std::function<void()> handler) { this->queue.push_back(std::move(handler)); }
    CommitResult commit(const std::vector<RowWrite>& writes);

    std::deque<std::function<void()>> queue;
    // Versions are taken from one counter, so a row that is deleted and written again never repeats a version.
    std::uint64_t lastVersion = 0;
};

} // namespace waxwinglug::test
