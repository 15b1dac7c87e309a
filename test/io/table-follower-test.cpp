// Tests followers of tables against a simulated store behind a link of limited rate, which all calls share.
#include "io/process/table-follower.h"

#include "job/bounded-transaction.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace waxwinglug::io {
namespace {

    constexpr Duration storeLatency { 8 };
    constexpr std::size_t answerBytes = 200; // of an answer without rows
    constexpr double thinLink = 250; // bytes per ms: 2 Mbit/s
    constexpr double wideLink = 25'000; // 200 Mbit/s

    // Time passes only from one event to the next one.
    class SimulatedStore {
    public:
        RowStore store;
        std::function<void(int page)> beforePage = [](int) {}; // called with the number of the requested page
        std::function<bool(int call)> losesAnswer = [](int) { return false; };
        double bytesPerMs = wideLink;
        std::size_t sentBytes = 0;
        std::size_t largestPage = 0;
        int pages = 0;

        SimulatedStore()
        {
            this->store.list = [this](const RowName& from, const std::string&, PageLimits limits, auto handler) {
                this->beforePage(this->pages++);
                auto page = this->read(from, limits.maxRows);
                std::size_t bytes = answerBytes;
                for (const auto& row : page.rows)
                    bytes += encodedSize(row.name, row.value.size());
                this->largestPage = std::max(this->largestPage, page.rows.size());
                this->answer(bytes, limits.timeout,
                    [handler, page](bool arrives) { handler(arrives ? std::optional(page) : std::nullopt); });
            };
            this->store.follow = [this](const std::string& table, std::uint64_t after, Duration wait, auto handler) {
                this->follow(table, after, wait, handler);
            };
        }

        FollowerTime time()
        {
            return { this->manual.clock(),
                [this](Duration delay, auto action) { this->runAt(this->now() + delay, std::move(action)); } };
        }

        TimePoint now() { return this->manual.clock().now(); }

        void write(const RowName& name, std::string value)
        {
            this->rows[name] = { name, std::move(value), ++this->version, false };
            this->history.push_back(this->rows[name]);
        }

        void remove(const RowName& name)
        {
            this->rows.erase(name);
            this->history.push_back({ name, "", ++this->version, true });
        }

        void dropHistory() { this->historyStart = this->version; }

        std::map<std::string, std::string> values(const std::string& table) const
        {
            std::map<std::string, std::string> result;
            for (const auto& [name, row] : this->rows) {
                if (name.table == table)
                    result[name.part + "/" + name.key] = row.value;
            }
            return result;
        }

        void runAt(TimePoint at, std::function<void()> action) { this->events.emplace(at, std::move(action)); }

        // Runs until the condition holds. Returns false if it does not within the time.
        bool runUntil(const std::function<bool()>& isDone, Duration limit)
        {
            const auto end = this->now() + limit;
            while (!isDone()) {
                if (this->events.empty() || this->events.begin()->first > end)
                    return false;
                auto event = this->events.extract(this->events.begin());
                this->manual.advance(event.key() - this->now());
                event.mapped()();
            }
            return true;
        }

        // Sends an answer over the link. Its bytes use the link even when the caller has given up.
        void answer(std::size_t bytes, Duration timeout, std::function<void(bool arrives)> handler)
        {
            this->sentBytes += bytes;
            const auto start = std::max(this->now() + storeLatency, this->linkFreeAt);
            this->linkFreeAt = start + Duration(1 + static_cast<std::int64_t>(static_cast<double>(bytes) / bytesPerMs));
            const bool arrives = !this->losesAnswer(this->calls++) && this->linkFreeAt - this->now() <= timeout;
            this->runAt(arrives ? this->linkFreeAt : this->now() + timeout,
                [handler = std::move(handler), arrives] { handler(arrives); });
        }

    private:
        RowPage read(const RowName& from, std::size_t maxRows) const
        {
            RowPage page;
            page.version = this->version;
            for (auto row = this->rows.lower_bound(from); row != this->rows.end(); ++row) {
                if (row->first.table != from.table || row->first.part != from.part)
                    break;
                if (page.rows.size() == std::min<std::size_t>(maxRows, 500)) {
                    page.hasMore = true;
                    break;
                }
                page.rows.push_back(row->second);
            }
            return page;
        }

        void follow(const std::string& table, std::uint64_t after, Duration wait,
            const std::function<void(FollowResult)>& handler)
        {
            if (after < this->historyStart)
                return this->runAt(this->now() + storeLatency, [handler] {
                    handler({ FollowStatus::HistoryGone, {}, 0 });
                });
            FollowResult result { FollowStatus::Changes, {}, this->version };
            std::size_t bytes = answerBytes;
            for (const auto& row : this->history) {
                if (row.version <= after || row.name.table != table)
                    continue;
                result.rows.push_back(row);
                bytes += encodedSize(row.name, row.value.size());
            }
            if (result.rows.empty() && wait > Duration(0))
                return this->runAt(this->now() + Duration(10),
                    [this, table, after, wait, handler] { this->follow(table, after, wait - Duration(10), handler); });
            this->answer(bytes, Duration(1200),
                [handler, result](bool arrives) { handler(arrives ? result : FollowResult {}); });
        }

        ManualClock manual;
        std::multimap<TimePoint, std::function<void()>> events;
        TimePoint linkFreeAt;
        std::map<RowName, StoredRow> rows;
        std::vector<StoredRow> history;
        std::uint64_t version = 0;
        std::uint64_t historyStart = 0;
        int calls = 0;
    };

    // What a follower has reported.
    struct View {
        std::map<std::string, std::string> values;
        int fullReads = 0;

        std::unique_ptr<TableFollower> follow(SimulatedStore& store, const std::string& table,
            std::vector<std::string> parts = { "" }, std::shared_ptr<PageBudget> budget = nullptr)
        {
            const auto apply = [this](std::span<const StoredRow> rows) {
                for (const auto& row : rows) {
                    const auto key = row.name.part + "/" + row.name.key;
                    if (row.removed)
                        this->values.erase(key);
                    else
                        this->values[key] = row.value;
                }
            };
            FollowerHooks hooks;
            hooks.onFullRead = [this, apply](std::span<const StoredRow> rows) {
                ++this->fullReads;
                this->values.clear();
                apply(rows);
            };
            hooks.onChanges = apply;
            hooks.onAnswer = hooks.onNoAnswer = [] {};
            hooks.log = [](std::string_view, std::initializer_list<LogField>) {};
            hooks.pageBudget = std::move(budget);
            auto follower = std::make_unique<TableFollower>(
                store.time(), store.store, table, std::move(parts), 1, std::move(hooks));
            follower->start();
            return follower;
        }
    };

    RowName rowName(const std::string& table, int number)
    {
        return { table, std::to_string(number % 8), fmt::format("{:06}", number) };
    }

    const std::vector<std::string> eightParts { "0", "1", "2", "3", "4", "5", "6", "7" };

    void fill(SimulatedStore& store, const std::string& table, int rows, std::size_t bytes)
    {
        for (int number = 0; number < rows; ++number)
            store.write(rowName(table, number), std::string(bytes, 'x'));
    }

} // namespace

// Guards against a leader that never loads: a full page takes longer than its timeout, and nothing that was read is
// kept.
TEST(TableFollower, readsATableOfWhichAFullPageTakesLongerThanTheTimeout)
{
    SimulatedStore store;
    store.bytesPerMs = thinLink;
    for (int number = 0; number < 1'200; ++number)
        store.write({ "job", "", fmt::format("{:06}", number) }, std::string(1'000, 'x'));
    View view;
    const auto follower = view.follow(store, "job");
    ASSERT_TRUE(store.runUntil([&] { return view.fullReads == 1; }, Duration(14'000)));
    EXPECT_EQ(view.values, store.values("job"));
}

// Guards against heartbeats and callers that wait behind the pages of several tables on a thin link.
TEST(TableFollower, otherCallsOfTheLinkAnswerWhileTablesAreRead)
{
    SimulatedStore store;
    store.bytesPerMs = thinLink;
    const std::vector<std::string> tables { "job", "progress", "server-use", "upkeep" };
    for (const auto& table : tables)
        fill(store, table, 600, 1'000);
    const auto budget = std::make_shared<PageBudget>();
    std::vector<View> views(tables.size());
    std::vector<std::unique_ptr<TableFollower>> followers;
    followers.reserve(tables.size());
    for (std::size_t index = 0; index < tables.size(); ++index)
        followers.push_back(views[index].follow(store, tables[index], eightParts, budget));
    int heartbeats = 0;
    int lateHeartbeats = 0;
    std::function<void()> sendHeartbeat = [&] {
        ++heartbeats;
        store.answer(answerBytes, Duration(1'000), [&](bool arrives) { lateHeartbeats += arrives ? 0 : 1; });
        store.runAt(store.now() + Duration(250), sendHeartbeat);
    };
    sendHeartbeat();
    ASSERT_TRUE(
        store.runUntil([&] { return std::ranges::all_of(views, [](const auto& view) { return view.fullReads == 1; }); },
            Duration(40'000)));
    EXPECT_GT(heartbeats, 10);
    EXPECT_EQ(lateHeartbeats, 0);
}

// Guards against a read that starts again after each lost answer.
TEST(TableFollower, pagesThatWereReadAreKeptWhenAnAnswerIsLost)
{
    SimulatedStore store;
    fill(store, "job", 4'000, 1'000);
    store.losesAnswer = [](int call) { return call % 4 == 3; };
    View view;
    const auto follower = view.follow(store, "job", eightParts);
    ASSERT_TRUE(store.runUntil([&] { return view.fullReads == 1; }, Duration(60'000)));
    EXPECT_EQ(view.values, store.values("job"));
    EXPECT_LT(store.sentBytes, 4'000U * 1'500U * 2U);
}

// Guards against small pages on a link that could carry large ones.
TEST(TableFollower, pagesGrowOnAWideLink)
{
    SimulatedStore store;
    for (int number = 0; number < 4'000; ++number)
        store.write({ "job", "", fmt::format("{:06}", number) }, std::string(1'000, 'x'));
    View view;
    const auto follower = view.follow(store, "job");
    ASSERT_TRUE(store.runUntil([&] { return view.fullReads == 1; }, Duration(800)));
    EXPECT_EQ(store.largestPage, 500U);
}

// Guards against a table that is never read because its largest row does not arrive within the usual timeout.
TEST(TableFollower, readsARowThatTakesLongerThanTheUsualTimeout)
{
    SimulatedStore store;
    store.bytesPerMs = thinLink;
    store.write({ "op", "", "a" }, "1");
    store.write({ "op", "", "b" }, std::string(400'000, 'x'));
    store.write({ "op", "", "c" }, "3");
    View view;
    const auto follower = view.follow(store, "op");
    ASSERT_TRUE(store.runUntil([&] { return view.fullReads == 1; }, Duration(30'000)));
    EXPECT_EQ(view.values, store.values("op"));
}

// Guards against changes that are missed because they were made while later pages were read.
TEST(TableFollower, changesBetweenPagesAreNotMissed)
{
    SimulatedStore store;
    fill(store, "job", 2'000, 1'000);
    store.beforePage = [&](int page) {
        store.write(rowName("job", page * 7), "changed");
        store.write(rowName("job", 3'000 + page), "added");
        store.remove(rowName("job", 1 + page * 5));
    };
    View view;
    const auto follower = view.follow(store, "job", eightParts);
    ASSERT_TRUE(
        store.runUntil([&] { return view.fullReads == 1 && view.values == store.values("job"); }, Duration(5'000)));
}

// Guards against a follower that goes on from a version whose changes the store has dropped while the table was read.
TEST(TableFollower, readsAgainWhenTheHistoryIsGoneAfterTheRead)
{
    SimulatedStore store;
    fill(store, "job", 2'000, 1'000);
    store.beforePage = [&](int page) {
        if (page != 5)
            return;
        store.remove(rowName("job", 0));
        store.dropHistory();
    };
    View view;
    const auto follower = view.follow(store, "job", eightParts);
    ASSERT_TRUE(store.runUntil([&] { return view.fullReads == 2; }, Duration(5'000)));
    EXPECT_EQ(view.values, store.values("job"));
}

// Guards against new rows that wait until a large table has been read again: a leader whose history was lost at a peak
// learned of jobs 4.8 s after they were stored.
TEST(TableFollower, newRowsAreReportedWhileTheTableIsReadAgain)
{
    SimulatedStore store;
    fill(store, "job", 2'000, 1'000);
    View view;
    const auto follower = view.follow(store, "job", eightParts);
    ASSERT_TRUE(store.runUntil([&] { return view.fullReads == 1; }, Duration(5'000)));
    store.bytesPerMs = thinLink;
    store.write(rowName("job", 5'000), "not followed");
    store.dropHistory();
    const auto pagesBefore = store.pages;
    store.beforePage = [&](int page) {
        if (page == pagesBefore + 3) {
            store.write(rowName("job", 4'000), "added");
            store.write(rowName("job", 0), "changed");
            store.remove(rowName("job", 8));
        }
    };
    ASSERT_TRUE(store.runUntil([&] { return view.values.contains("0/004000"); }, Duration(60'000)));
    EXPECT_EQ(view.fullReads, 1) << "the row waited for the read";
    ASSERT_TRUE(store.runUntil([&] { return view.fullReads == 2; }, Duration(60'000)));
    EXPECT_TRUE(view.values == store.values("job"));
}

// Guards against any order of losses, changes and lost history on any link after which a follower differs from the
// store.
RC_GTEST_PROP(TableFollowerProperty, reachesTheStateOfTheStoreOnAnyLink, ())
{
    SimulatedStore store;
    store.bytesPerMs = *rc::gen::elementOf(std::vector<double> { 60, 250, 2'500, 25'000 });
    const auto rowCount = *rc::gen::inRange(0, 400);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto lossPercent = *rc::gen::inRange(0, 40);
    const auto changes = *rc::gen::inRange(0, 60);
    fill(store, "job", rowCount, 700);
    store.write({ "job", "7", "last" }, "1");
    std::mt19937 random(seed);
    bool isQuiet = false;
    store.losesAnswer = [&](int) { return !isQuiet && static_cast<int>(random() % 100) < lossPercent; };
    int changesLeft = changes;
    store.beforePage = [&](int) {
        if (changesLeft-- <= 0)
            return;
        const auto name = rowName("job", static_cast<int>(random() % 500));
        if (random() % 3 == 0)
            store.remove(name);
        else
            store.write(name, std::to_string(random()));
        if (random() % 20 == 0)
            store.dropHistory();
    };
    View view;
    const auto follower = view.follow(store, "job", eightParts);
    RC_ASSERT(store.runUntil([&] { return view.fullReads > 0; }, std::chrono::minutes(4)));
    isQuiet = true;
    changesLeft = 0;
    RC_ASSERT(store.runUntil([&] { return view.values == store.values("job"); }, std::chrono::minutes(2)));
}

} // namespace waxwinglug::io
