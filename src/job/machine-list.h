// The platform's machine list as it was last read. Maintenance and moves of one lead share it.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/fleet-platform.h>

#include <map>
#include <span>
#include <string>

namespace waxwinglug {

struct MachineList {
    std::map<std::string, MachineRecord> machines; // by name
    TimePoint readAt; // when the answer arrived

    bool isRead() const { return this->readAt != TimePoint {}; }
    // nullptr when it is not listed.
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
