// The work of the entry VM that has the lead: feeds the scheduler with rows and answers, sends its orders, and stores
// what it records.
#pragma once

#include "io/process/table-follower.h"
#include "job/leadership.h"
#include "job/scheduler.h"

#include <waxwinglug/fleet-platform.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace waxwinglug::io {

// Tables of the scheduler. Callers' jobs and cancellations are written by every entry VM, progress by the lead.
namespace tables {
    inline constexpr const char* jobs = "job";
    inline constexpr const char* progress = "progress";
    inline constexpr const char* summary = "summary";
    inline constexpr const char* summaryKey = "waiting";
    // A cancellation has the key of its job with this suffix, so that both are read in one range.
    inline constexpr std::string_view cancelSuffix = "/cancel";
}

struct LeadHooks {
    // The lead is lost or given up; the session is to be destroyed.
    std::function<void()> ended;
    LogHook log;
};

class LeadSession : public std::enable_shared_from_this<LeadSession> {
public:
    LeadSession(boost::asio::io_context& context, const FleetPlatform& platform, Leadership& leadership,
        JobSchedulerRules rules, Clock clock, std::shared_ptr<const FleetConfig> config, LeadHooks hooks);

    void start();
    void setConfig(std::shared_ptr<const FleetConfig> config);
    // Stops at once and lets another VM take the lead.
    void release();

    JobScheduler& scheduler() { return this->jobScheduler; }
    bool isLoaded() const { return this->loaded; }
    // Reacts to a change of the scheduler that did not come through this session.
    void poke();

private:
    JobSchedulerHooks schedulerHooks();
    void onJobs(std::span<const StoredRow> rows, bool whole);
    void onServers(std::span<const StoredRow> rows, bool whole);
    void readProgress();
    void finishLoading();
    void tick();
    void react();
    void storeChanges();
    void onCommit(const TransactionResult& result, TimePoint sentAt, const std::vector<ProgressWrite>& batch);
    bool addSummary(RowTransaction& transaction);
    void end(std::string_view reason);
    template <typename Handler> auto guarded(Handler handler);

    boost::asio::io_context& context;
    const FleetPlatform& platform;
    Leadership& leadership;
    const Clock clock;
    const LeadHooks hooks;
    JobScheduler jobScheduler;
    std::unique_ptr<TableFollower> jobFollower;
    std::unique_ptr<TableFollower> serverFollower;
    boost::asio::steady_timer ticker;
    boost::asio::steady_timer reactor;
    std::vector<StoredRow> progressRows;
    std::set<std::string> inheritedCancels;
    bool jobsLoaded = false;
    bool serversLoaded = false;
    bool progressLoaded = false;
    // Jobs, progress and servers of the store are known.
    bool loaded = false;
    bool committing = false;
    bool reacting = false;
    bool over = false;
    std::map<std::string, int> storedSummary;
    TimePoint summaryAt;
};

} // namespace waxwinglug::io
