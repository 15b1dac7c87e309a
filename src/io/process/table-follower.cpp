// Reads a table page by page and follows its changes.
#include "io/process/table-follower.h"

#include "job/bounded-transaction.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace waxwinglug::io {
namespace {

    // Without changes the store answers after this time, so that a dead connection is detected within about a second.
    constexpr Duration maxFollowWait { 500 };
    // Delay after a call without an answer.
    constexpr Duration retryDelay { 100 };

    // Encoded size of a row before the first one of its table is known.
    constexpr std::size_t assumedRowBytes = 2'000;

    // What one full read of a table took.
    struct ReadCost {
        TimePoint startedAt;
        std::size_t rows = 0;
        std::size_t bytes = 0; // as encoded
        int pages = 0;
        int latePages = 0;
        int stalePages = 0;
    };

    std::size_t pageSize(const RowPage& page)
    {
        std::size_t bytes = 0;
        for (const auto& row : page.rows)
            bytes += encodedSize(row.name, row.value.size());
        return bytes;
    }

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
        , pageBudget(hooks.pageBudget ? hooks.pageBudget : std::make_shared<PageBudget>())
    {
    }

    void retryLater(void (State::*step)())
    {
        this->time.runAfter(retryDelay, [weak = this->weak_from_this(), read = this->readNumber, step] {
            const auto self = weak.lock();
            if (self && read == self->readNumber)
                (self.get()->*step)();
        });
    }

    // Reads all rows, for the first time or after the history was lost. In the second case the table is followed from
    // the first page on while the other pages are read, so that new rows need not wait for the read.
    void readTable()
    {
        ++this->readNumber;
        this->isReading = true;
        this->readFrom = this->lastVersion;
        this->changedWhileReading.clear();
        this->cost = {};
        this->cost.startedAt = this->time.clock.now();
        this->rows.clear();
        this->firstPageVersion = 0;
        this->partIndex = 0;
        this->lastKey.clear();
        this->requestPage();
    }

    void requestPage()
    {
        this->pageBudget->acquire([weak = this->weak_from_this(), read = this->readNumber, budget = this->pageBudget] {
            const auto self = weak.lock();
            if (self && read == self->readNumber)
                self->readPage();
            else
                budget->release();
        });
    }

    void readPage()
    {
        const auto page
            = this->pageBudget->nextPage(this->cost.rows == 0 ? assumedRowBytes : this->cost.bytes / this->cost.rows);
        // The smallest key after the last one that was read.
        const auto key = this->lastKey.empty() ? std::string() : this->lastKey + '\0';
        if (this->firstPageVersion == 0)
            this->firstPageMoment = { this->time.clock.now(), std::nullopt, 0 };
        this->store.list({ this->table, this->parts[this->partIndex], key }, "", { page.timeout, page.rows },
            [weak = this->weak_from_this(), read = this->readNumber, budget = this->pageBudget, requested = page,
                now = this->time.clock.now, requestedAt = this->time.clock.now()](std::optional<RowPage> answer) {
                const auto elapsed = now() - requestedAt;
                if (answer)
                    budget->recordPage(pageSize(*answer), !answer->hasMore, elapsed);
                else
                    budget->recordFailure(elapsed, requested.timeout);
                budget->release();
                const auto self = weak.lock();
                if (!self || read != self->readNumber)
                    return;
                if (answer)
                    self->onPage(std::move(*answer));
                else
                    self->onMissingPage(requested, elapsed);
            });
    }

    void onMissingPage(const PageBudget::Page& requested, Duration elapsed)
    {
        ++this->cost.latePages;
        this->hooks.log("a page of a table was not read",
            { { "table", this->table }, { "part", this->parts[this->partIndex] }, { "limit", requested.rows },
                { "ms", elapsed.count() }, { "rows_read", this->rows.size() } });
        this->recordNoAnswer();
        this->retryLater(&State::requestPage);
    }

    void onPage(RowPage page)
    {
        this->recordAnswer();
        // Following starts at the version of the first page, so that no change made while later pages were read is
        // missed; a later page that is older than the first one would miss changes.
        const auto knownVersion = std::max(this->readFrom, this->firstPageVersion);
        if (page.version < knownVersion) {
            ++this->cost.stalePages;
            this->hooks.log("stale answer of the store is read again",
                { { "table", this->table }, { "version", page.version }, { "known", knownVersion } });
            return this->retryLater(&State::requestPage);
        }
        const bool isFirstPage = this->firstPageVersion == 0;
        if (isFirstPage) {
            this->firstPageVersion = page.version;
            this->firstPageMoment.storeTime = page.time;
            this->firstPageMoment.version = page.version;
        }
        ++this->cost.pages;
        this->cost.rows += page.rows.size();
        this->cost.bytes += pageSize(page);
        const bool hasMore = page.hasMore && !page.rows.empty();
        this->lastKey = hasMore ? page.rows.back().name.key : std::string();
        std::ranges::move(page.rows, std::back_inserter(this->rows));
        const auto self = this->shared_from_this();
        const bool wasRead = this->wasReadBefore;
        if (hasMore || ++this->partIndex < this->parts.size()) {
            this->requestPage();
            if (isFirstPage && wasRead)
                this->followFromFirstPage();
            return;
        }
        this->isReading = false;
        this->wasReadBefore = true;
        this->logRead();
        this->hooks.onFullRead(this->takeRows());
        this->recordMoment(this->firstPageMoment);
        if (isFirstPage || !wasRead)
            this->followFromFirstPage();
    }

    void followFromFirstPage()
    {
        this->lastVersion = std::max(this->readFrom, this->firstPageVersion);
        this->follow();
    }

    // The rows of all pages, with the changes that were reported while later pages were read: a page may be older.
    std::vector<StoredRow> takeRows()
    {
        auto all = std::exchange(this->rows, {});
        std::map<std::pair<std::string, std::string>, StoredRow> changed;
        for (auto& row : std::exchange(this->changedWhileReading, {}))
            changed.insert_or_assign({ row.name.part, row.name.key }, std::move(row));
        std::erase_if(all, [&changed](const StoredRow& row) {
            const auto change = changed.find({ row.name.part, row.name.key });
            if (change == changed.end())
                return false;
            if (change->second.version >= row.version)
                return true;
            changed.erase(change);
            return false;
        });
        for (auto& [name, row] : changed) {
            if (!row.removed)
                all.push_back(std::move(row));
        }
        return all;
    }

    void follow()
    {
        this->store.follow(this->table, this->lastVersion, maxFollowWait,
            [weak = this->weak_from_this(), read = this->readNumber, requestedAt = this->time.clock.now()](
                const FollowResult& result) {
                const auto self = weak.lock();
                if (self && read == self->readNumber)
                    self->onChanges(result, requestedAt);
            });
    }

    void onChanges(const FollowResult& result, TimePoint requestedAt)
    {
        if (result.status == FollowStatus::NoAnswer) {
            this->recordNoAnswer();
            return this->retryLater(&State::follow);
        }
        this->recordAnswer();
        if (result.status == FollowStatus::HistoryGone) {
            this->hooks.log(
                "history of the store is gone", { { "table", this->table }, { "known", this->lastVersion } });
            return this->readTable();
        }
        const bool isStale = result.version < this->lastVersion;
        this->lastVersion = std::max(this->lastVersion, result.version);
        if (this->isReading)
            std::ranges::copy(result.rows, std::back_inserter(this->changedWhileReading));
        if (!result.rows.empty())
            this->hooks.onChanges(result.rows);
        // Until the read is over, rows that changed before it may be unknown.
        if (!result.mayHaveMore && !isStale && !this->isReading)
            this->recordMoment({ requestedAt, result.time, result.version });
        this->follow();
    }

    void recordMoment(const TableMoment& moment)
    {
        if (this->hooks.onCurrent)
            this->hooks.onCurrent(moment);
    }

    void logRead()
    {
        this->hooks.log("table is read",
            { { "table", this->table }, { "rows", this->cost.rows }, { "bytes", this->cost.bytes },
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
    const std::shared_ptr<PageBudget> pageBudget;
    std::vector<StoredRow> rows; // pages read so far
    std::size_t partIndex = 0; // index of the part that is being read
    std::string lastKey; // last key read from this part; empty: none
    std::uint64_t firstPageVersion = 0;
    // Answers that belong to an earlier read than this are ignored.
    std::uint64_t readNumber = 0;
    std::uint64_t readFrom = 0; // the latest known version when the read began; no page may be older
    bool isReading = false;
    bool wasReadBefore = false;
    std::vector<StoredRow> changedWhileReading; // in the order of their versions
    TableMoment firstPageMoment;
    ReadCost cost;
    bool isUnavailable = false;
};

TableFollower::TableFollower(FollowerTime time, const RowStore& store, std::string table,
    std::vector<std::string> parts, std::uint64_t minVersion, FollowerHooks hooks)
    : state(std::make_shared<State>(
        std::move(time), store, std::move(table), std::move(parts), minVersion, std::move(hooks)))
{
}

TableFollower::~TableFollower() = default;

void TableFollower::start() { this->state->readTable(); }

} // namespace waxwinglug::io
