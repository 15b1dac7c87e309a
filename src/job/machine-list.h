// The platform's machine list as of the last read. Machine maintenance and pool moves of a leader share it.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/fleet-platform.h>

#include <map>
#include <span>
#include <string>

namespace waxwinglug {

struct MachineList {
    std::map<std::string, MachineRecord> machines; // by name
    TimePoint readAt; // when the answer arrived; TimePoint {} before the first one

    bool isRead() const { return this->readAt != TimePoint {}; }
    // The record of a machine; nullptr when it is not in the list.
    const MachineRecord* find(const std::string& name) const
    {
        const auto place = this->machines.find(name);
        return place == this->machines.end() ? nullptr : &place->second;
    }
    void replace(std::span<const MachineRecord> records, TimePoint now)
    {
        this->machines.clear();
        for (const auto& record : records)
            this->machines.emplace(record.machine, record);
        this->readAt = now;
    }
};

} // namespace waxwinglug
