// Stored form of the record that a leader uses a server, with the end of the leases of one that does not answer and the
// starts that got no answer.
#pragma once

#include <waxwinglug/fleet-platform.h>
#include <waxwinglug/work.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

// A start without an answer.
struct StoredStart {
    TaskId task;
    int run = 0;
    // Time of the store until which it may be carried out, or its lease may last. Nothing: not known.
    std::optional<StoreTime> endsBy {};
};

struct ServerUse {
    ServerRecord server;
    // Time of the store at which the last lease of the server ends. Nothing: leases may be granted.
    std::optional<StoreTime> leaseEnd;
    std::uint64_t fence = 0; // of the leader that wrote `leaseEnd`
    // Time of the store until which leases may last that orders meant for an earlier incarnation have created.
    std::optional<StoreTime> strayLeaseEnd {};
    std::vector<StoredStart> unansweredStarts {};
};

std::string encodeServerUse(const ServerUse& use);
// Throws Error (Invalid) if the text does not hold a server. An end of leases or a start in another form counts as
// none.
ServerUse decodeServerUse(std::string_view text);

// Returns how long leases last from `now` on, at least zero and at most `maxLeft`. No difference of two stored times
// can be out of range then.
Duration leaseTimeLeft(StoreTime leaseEnd, StoreTime now, Duration maxLeft);

} // namespace waxwinglug
