// In-memory platform for tests.
#include "support/fake-platform.h"

namespace waxwinglug::test {

Row FakePlatform::row(const std::string& key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? Row { key, "", 0 } : found->second;
}

void FakePlatform::set(const std::string& key, std::string value)
{
    this->rows[key] = { key, std::move(value), ++this->lastVersion };
}

void FakePlatform::deliver()
{
    while (this->deliverOne()) { }
}

bool FakePlatform::deliverOne(std::size_t index)
{
    if (this->queue.empty())
        return false;
    const auto position = this->queue.begin() + static_cast<std::ptrdiff_t>(index % this->queue.size());
    const auto handler = std::move(*position);
    this->queue.erase(position);
    handler();
    return true;
}

CommitResult FakePlatform::commit(const std::vector<RowWrite>& writes)
{
    ++this->commitCount;
    if (this->isUnavailable)
        return {};
    CommitResult result { CommitStatus::Committed, {} };
    for (const auto& write : writes) {
        if (this->row(write.key).version != write.expectedVersion)
            result.conflicts.push_back(this->row(write.key));
    }
    if (!result.conflicts.empty()) {
        result.status = CommitStatus::Conflict;
    } else {
        for (const auto& write : writes) {
            if (write.value)
                this->set(write.key, *write.value);
            else
                this->rows.erase(write.key);
        }
    }
    if (this->loseCommitAnswers)
        return { CommitStatus::Unknown, {} };
    return result;
}

Platform FakePlatform::platform()
{
    Platform hooks;
    hooks.table.read = [this](std::vector<std::string> keys, RowsHandler handler) {
        ++this->readCount;
        std::optional<std::vector<Row>> found;
        if (!this->isUnavailable) {
            found.emplace();
            for (const auto& key : keys)
                found->push_back(this->row(key));
        }
        this->enqueue([found, handler] { handler(found); });
    };
    hooks.table.scan = [this](std::string prefix, RowsHandler handler) {
        ++this->readCount;
        std::optional<std::vector<Row>> found;
        if (!this->isUnavailable) {
            found.emplace();
            for (auto at = this->rows.lower_bound(prefix); at != this->rows.end() && at->first.starts_with(prefix);
                 ++at)
                found->push_back(at->second);
        }
        this->enqueue([found, handler] { handler(found); });
    };
    hooks.table.commit = [this](std::vector<RowWrite> writes, CommitHandler handler) {
        this->enqueue([result = this->commit(writes), handler] { handler(result); });
    };
    hooks.objects.put = [this](std::string name, std::string content, std::function<void(bool)> handler) {
        const bool stored = !this->isUnavailable;
        if (stored)
            this->objects[name] = std::move(content);
        this->enqueue([stored, handler] { handler(stored); });
    };
    hooks.objects.get = [this](std::string name, std::function<void(std::optional<std::string>)> handler) {
        std::optional<std::string> content;
        if (const auto found = this->objects.find(name); !this->isUnavailable && found != this->objects.end())
            content = found->second;
        this->enqueue([content, handler] { handler(content); });
    };
    hooks.vms.list = [this](std::function<void(std::optional<std::vector<VmStatus>>)> handler) {
        std::optional<std::vector<VmStatus>> listed;
        if (!this->isUnavailable)
            listed = this->vms;
        this->enqueue([listed, handler] { handler(listed); });
    };
    hooks.control.checkpoint = [this](std::string vm, std::function<void(bool)> handler) {
        if (!this->isUnavailable)
            this->checkpointedVms.push_back(vm);
        this->enqueue([accepted = !this->isUnavailable, handler] { handler(accepted); });
    };
    hooks.control.reboot = [this](std::string vm, std::uint64_t incarnation, std::function<void(bool)> handler) {
        if (!this->isUnavailable) {
            this->rebootedVms.push_back(vm);
            for (auto& status : this->vms) {
                if (status.name == vm && status.incarnation <= incarnation)
                    status = { vm, VmState::Live, incarnation + 1 };
            }
        }
        this->enqueue([accepted = !this->isUnavailable, handler] { handler(accepted); });
    };
    return hooks;
}

} // namespace waxwinglug::test
