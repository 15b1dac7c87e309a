// One caller request inside the entry daemon, from its arrival to its answer.
#pragma once

#include "io/connection/caller-server.h"

#include <waxwinglug/config.h>
#include <waxwinglug/keys.h>
#include <waxwinglug/request.h>

#include <memory>
#include <string>
#include <vector>

namespace waxwinglug::io {

// A configuration and the keys it grants.
struct Rights {
    std::shared_ptr<const Config> config;
    KeyRing ring;
};

// What traffic threads need of the configuration. Never changed once published, so the rights that apply now follow
// from the time alone, even in a process that was paused.
struct RightsSnapshot {
    // Null: no configuration is known yet, so nothing is accepted.
    std::shared_ptr<const Rights> fresh;
    std::shared_ptr<const Rights> stale;
    std::shared_ptr<const Rights> stopped;
    TimePoint freshUntil;
    TimePoint staleUntil;

    const std::shared_ptr<const Rights>& rightsAt(TimePoint now) const
    {
        if (now < this->freshUntil)
            return this->fresh;
        return now < this->staleUntil ? this->stale : this->stopped;
    }
};

struct Exchange {
    HttpRequest request;
    CallerRequest caller;
    // Team that is charged; `anonymousTeam` for work without a key on an open queue.
    std::string team;
    WorkClass workClass = WorkClass::Interactive;
    TimePoint receivedAt;
    TimePoint deadline;
    // Issued by this node, or the one that the caller sent again.
    RequestId id;
    Respond respond;
    // Set on the control thread once the request is queued; 0: not queued.
    std::uint64_t workHandle = 0;
};

// The team of work without a key. Configured names cannot contain '*'.
inline constexpr std::string_view anonymousTeam = "*open";

} // namespace waxwinglug::io
