// Guards against transactions that the store refuses for their size: entries, bytes, and repeated rows of a wave.
#include "job/bounded-transaction.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace waxwinglug {
namespace {

    RowValue row(std::string key, std::string value)
    {
        return { { "upkeep", "scheduler", std::move(key) }, std::move(value) };
    }

    // A wave of a thousand machines changes its row a thousand times while a transaction is in flight.
    TEST(BoundedTransaction, waveOfAThousandMachinesIsOneEntry)
    {
        PendingRows pending;
        std::string done;
        for (int machine = 0; machine < 1000; ++machine) {
            done += fmt::format("\"machine-{:06}\",", machine);
            pending.set(row("1", done));
        }
        BoundedTransaction transaction({});
        const auto moved = pending.moveInto(transaction);
        ASSERT_EQ(moved.size(), 1U);
        EXPECT_EQ(moved.front().value, done);
        EXPECT_TRUE(pending.isEmpty());
        EXPECT_EQ(transaction.take().writes.size(), 1U);
    }

    TEST(BoundedTransaction, rowsBeyondTheEntryLimitStayPending)
    {
        PendingRows pending;
        for (int wave = 0; wave < 150; ++wave)
            pending.set(row(std::to_string(wave), "[]"));
        BoundedTransaction first({});
        EXPECT_EQ(pending.moveInto(first).size(), 100U);
        EXPECT_EQ(first.entriesLeft(), 0U);
        BoundedTransaction second({});
        EXPECT_EQ(pending.moveInto(second).size(), 50U);
        EXPECT_TRUE(pending.isEmpty());
    }

    TEST(BoundedTransaction, rowsBeyondTheByteLimitStayPending)
    {
        PendingRows pending;
        for (int wave = 0; wave < 40; ++wave)
            pending.set(row(std::to_string(wave), std::string(60'000, 'x')));
        std::size_t transactions = 0;
        for (; !pending.isEmpty(); ++transactions) {
            BoundedTransaction transaction({});
            std::size_t bytes = 0;
            for (const auto& moved : pending.moveInto(transaction))
                bytes += encodedSize(moved.name, moved.value.size());
            ASSERT_GT(bytes, 0U);
            EXPECT_LE(bytes, 1'000'000U);
        }
        EXPECT_GE(transactions, 4U);
    }

    // A row that the store refuses in every transaction must not hold up the rows beside it.
    TEST(BoundedTransaction, rowBeyondTheRowLimitStaysPendingAndDelaysNoOther)
    {
        PendingRows pending;
        pending.set(row("1", std::string(defaultMaxRowBytes + 1, 'x')));
        pending.set(row("2", "[]"));
        BoundedTransaction transaction({});
        const auto moved = pending.moveInto(transaction);
        ASSERT_EQ(moved.size(), 1U);
        EXPECT_EQ(moved.front().name.key, "2");
    }

    TEST(BoundedTransaction, entriesAreAddedAsAWhole)
    {
        BoundedTransaction transaction({ 2, 10'000 });
        const RowName name { "progress", "scheduler", "job" };
        EXPECT_FALSE(transaction.tryAdd({ { { name, 1 }, { name, 2 } }, { { name, "x" } }, {} }));
        EXPECT_EQ(transaction.entriesLeft(), 2U);
        EXPECT_TRUE(transaction.tryAdd({ { { name, 1 } }, { { name, "x" } }, {} }));
        EXPECT_FALSE(transaction.tryAdd({ {}, {}, { name } }));
    }

    // A failed transaction must not bring back an older value over one that was set while it was in flight.
    TEST(BoundedTransaction, failedRowDoesNotReplaceANewerValue)
    {
        PendingRows pending;
        pending.set(row("1", "old"));
        BoundedTransaction failed({});
        const auto rows = pending.moveInto(failed);
        pending.set(row("1", "new"));
        pending.restore(rows);
        BoundedTransaction repeated({});
        const auto moved = pending.moveInto(repeated);
        ASSERT_EQ(moved.size(), 1U);
        EXPECT_EQ(moved.front().value, "new");
    }

} // namespace
} // namespace waxwinglug
