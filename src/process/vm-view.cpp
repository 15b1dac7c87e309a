// The view of the VM rows that an entry VM keeps.
#include <waxwinglug/vm-rows.h>

namespace waxwinglug {

VmView::VmView(Table rows, std::string_view dataCentre, std::function<std::vector<std::string>()> names)
    : table(std::move(rows))
    , journalRowKey(journalKey(dataCentre))
    , vmNames(std::move(names))
{
}

const VmRow* VmView::find(std::string_view vm) const
{
    const auto found = this->entries.find(vm);
    return found == this->entries.end() ? nullptr : &found->second.row;
}

void VmView::poll()
{
    if (this->isReading)
        return;
    this->isReading = true;
    this->table.read({ this->journalRowKey }, [this, weak = std::weak_ptr(this->alive)](auto rows) {
        if (weak.expired())
            return;
        this->isReading = false;
        if (rows && !rows->empty())
            this->readChanged(rows->front());
    });
}

void VmView::readChanged(const Row& journalRow)
{
    const auto current = journalRow.version ? fromJson<JournalRow>(journalRow.value) : JournalRow();
    const auto changed = this->needsFullRead ? std::nullopt : current.changedSince(this->lastAppliedSequence);
    if (changed && changed->empty())
        return;
    std::vector<std::string> keys;
    for (const auto& name : changed ? *changed : this->vmNames())
        keys.push_back(vmKey(name));
    this->isReading = true;
    // The rows are read after the journal, so they contain every change up to its sequence.
    this->table.read(std::move(keys),
        [this, sequence = current.sequence, isFullRead = !changed, weak = std::weak_ptr(this->alive)](auto rows) {
            if (weak.expired())
                return;
            this->isReading = false;
            if (!rows)
                return;
            if (isFullRead)
                this->needsFullRead = false;
            this->apply(*rows);
            this->lastAppliedSequence = sequence;
        });
}

void VmView::apply(std::span<const Row> rows)
{
    for (const auto& row : rows) {
        if (!row.version)
            continue;
        auto& entry = this->entries[row.key.substr(vmPrefix.size())];
        if (entry.version == row.version)
            continue;
        entry = { fromJson<VmRow>(row.value), row.version };
        if (this->onChange)
            this->onChange(row.key.substr(vmPrefix.size()), entry.row);
    }
}

} // namespace waxwinglug
