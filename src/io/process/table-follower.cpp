// Reads a table page by page and follows its changes.
#include "io/process/table-follower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace waxwinglug::io {
namespace {

    // Timeout of reading one page: several slow answers of the store (60 times 4 ms) and the transfer of 1 MB.
    constexpr Duration pageTimeout { 900 };
    // Without changes the store answers after this time, so that a dead connection is detected within about a second.
    constexpr Duration maxFollowWait { 500 };
    // Delay after a call without an answer.
    constexpr Duration retryDelay { 100 };

    // What one full read of a table took.
    struct ReadCost {
        TimePoint startedAt;
        std::size_t bytes = 0; // keys and values, as decoded
        int pages = 0;
        int latePages = 0;
        int stalePages = 0;
    };

} // namespace

FollowerTime followerTime(boost::asio::io_context& context, Clock clock)
{
    return { std::move(clock), [&context](Duration delay, std::function<void()> action) {
                const auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
                timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
                    if (!error)
                        action();
                });
            } };
}

struct TableFollower::State : std::enable_shared_from_this<State> {
    State(FollowerTime followerTime, const RowStore& rowStore, std::string tableName,
        std::vector<std::string> tableParts, std::uint64_t minVersion, FollowerHooks followerHooks)
        : time(std::move(followerTime))
        , store(rowStore)
        , table(std::move(tableName))
        , parts(std::move(tableParts))
        , lastVersion(minVersion)
        , hooks(std::move(followerHooks))
    {
    }

    void retryLater(void (State::*step)())
    {
        this->time.runAfter(retryDelay, [weak = this->weak_from_this(), step] {
            if (const auto self = weak.lock())
                (self.get()->*step)();
        });
    }

    // Reads the table for the first time, or again after the history was lost.
    void beginRead()
    {
        this->cost = { this->time.clock.now(), 0, 0, 0, 0 };
        this->readTable();
    }

    void readTable()
    {
        this->rows.clear();
        this->firstPageVersion = 0;
        this->partIndex = 0;
        this->lastKey.clear();
        this->readPage();
    }

    void readPage()
    {
        // The smallest key after the last one that was read.
        const auto key = this->lastKey.empty() ? std::string() : this->lastKey + '\0';
        this->pageRequestedAt = this->time.clock.now();
        this->store.list({ this->table, this->parts[this->partIndex], key }, "", pageTimeout,
            [weak = this->weak_from_this()](std::optional<RowPage> page) {
                if (const auto self = weak.lock())
                    self->onPage(std::move(page));
            });
    }

    void onPage(std::optional<RowPage> page)
    {
        if (!page) {
            ++this->cost.latePages;
            this->hooks.log("a page of a table was not read",
                { { "table", this->table }, { "part", this->parts[this->partIndex] }, { "rows", this->rows.size() },
                    { "ms", this->pageAge().count() } });
            this->recordNoAnswer();
            return this->retryLater(&State::readTable);
        }
        this->recordAnswer();
        if (page->version < this->lastVersion) {
            ++this->cost.stalePages;
            this->hooks.log("stale answer of the store is read again",
                { { "table", this->table }, { "version", page->version }, { "known", this->lastVersion } });
            return this->retryLater(&State::readTable);
        }
        // Following starts at the version of the first page, so that no change made while later pages were read is
        // missed.
        if (this->firstPageVersion == 0)
            this->firstPageVersion = page->version;
        ++this->cost.pages;
        for (const auto& row : page->rows)
            this->cost.bytes += row.name.key.size() + row.value.size();
        const bool hasMore = page->hasMore && !page->rows.empty();
        this->lastKey = hasMore ? page->rows.back().name.key : std::string();
        std::ranges::move(page->rows, std::back_inserter(this->rows));
        if (hasMore || ++this->partIndex < this->parts.size())
            return this->readPage();
        this->lastVersion = std::max(this->lastVersion, this->firstPageVersion);
        const auto allRows = std::exchange(this->rows, {});
        const auto self = this->shared_from_this();
        this->logRead(allRows.size());
        this->hooks.onFullRead(allRows);
        this->follow();
    }

    void follow()
    {
        this->store.follow(
            this->table, this->lastVersion, maxFollowWait, [weak = this->weak_from_this()](FollowResult result) {
                if (const auto self = weak.lock())
                    self->onChanges(result);
            });
    }

    void onChanges(const FollowResult& result)
    {
        if (result.status == FollowStatus::NoAnswer) {
            this->recordNoAnswer();
            return this->retryLater(&State::follow);
        }
        this->recordAnswer();
        if (result.status == FollowStatus::HistoryGone) {
            this->hooks.log(
                "history of the store is gone", { { "table", this->table }, { "known", this->lastVersion } });
            return this->beginRead();
        }
        this->lastVersion = std::max(this->lastVersion, result.version);
        if (!result.rows.empty())
            this->hooks.onChanges(result.rows);
        this->follow();
    }

    Duration pageAge() const { return this->time.clock.now() - this->pageRequestedAt; }

    void logRead(std::size_t rowCount)
    {
        this->hooks.log("table is read",
            { { "table", this->table }, { "rows", rowCount }, { "bytes", this->cost.bytes },
                { "pages", this->cost.pages }, { "late", this->cost.latePages }, { "stale", this->cost.stalePages },
                { "ms", (this->time.clock.now() - this->cost.startedAt).count() } });
    }

    void recordNoAnswer()
    {
        this->hooks.onNoAnswer();
        if (std::exchange(this->isUnavailable, true))
            return;
        this->hooks.log("the store does not answer", { { "table", this->table } });
    }

    void recordAnswer()
    {
        if (std::exchange(this->isUnavailable, false))
            this->hooks.log("the store answers again", { { "table", this->table } });
        this->hooks.onAnswer();
    }

    const FollowerTime time;
    const RowStore& store;
    const std::string table;
    const std::vector<std::string> parts;
    std::uint64_t lastVersion;
    const FollowerHooks hooks;
    std::vector<StoredRow> rows; // pages read so far
    std::size_t partIndex = 0; // index of the part that is being read
    std::string lastKey; // last key read from this part; empty: none
    std::uint64_t firstPageVersion = 0;
    ReadCost cost;
    TimePoint pageRequestedAt;
    bool isUnavailable = false;
};

TableFollower::TableFollower(FollowerTime time, const RowStore& store, std::string table,
    std::vector<std::string> parts, std::uint64_t minVersion, FollowerHooks hooks)
    : state(std::make_shared<State>(
        std::move(time), store, std::move(table), std::move(parts), minVersion, std::move(hooks)))
{
}

TableFollower::~TableFollower() = default;

void TableFollower::start() { this->state->beginRead(); }

} // namespace waxwinglug::io
