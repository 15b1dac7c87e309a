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

// The rights that traffic threads apply, by time. A published snapshot is immutable, so the current rights depend only
// on the time and are correct even after the process was paused.
struct RightsSnapshot {
    // Null while no configuration is known; nothing is accepted then.
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

// One request of a caller with its rights, its id and the function that answers it.
struct Exchange {
    HttpRequest request;
    CallerRequest caller;
    // What has granted the request.
    std::shared_ptr<const Rights> rights;
    // Team that is charged; `anonymousTeam` for a request without a key on a queue that allows this.
    std::string team;
    WorkClass workClass = WorkClass::Interactive;
    TimePoint receivedAt;
    TimePoint deadline;
    // Issued by this node, or sent by the caller that repeats a request.
    RequestId id;
    Respond respond;
    // Handle of the queued request in its dispatcher, set on the control thread; 0 while it is not queued.
    std::uint64_t workHandle = 0;
};

// The team that is charged for requests without a key. Configured team names cannot contain '*'.
inline constexpr std::string_view anonymousTeam = "*open";

} // namespace waxwinglug::io
