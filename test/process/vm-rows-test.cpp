// Tests of the maintenance rows and of the VM view that is updated from the journal.
#include "support/fake-platform.h"

#include <waxwinglug/vm-rows.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwinglug {
namespace {

    using test::FakePlatform;

    const std::vector<std::string> names { "a", "b", "c", "d" };

    // Writes a VM row together with its journal entry, as the maintainer does.
    void writeVmRow(FakePlatform& platform, const std::string& vm, const std::string& pool)
    {
        JournalRow journal;
        if (const auto row = platform.row(journalKey("dc1")); row.version)
            journal = fromJson<JournalRow>(row.value);
        journal.append(vm);
        VmRow row;
        row.pool = pool;
        row.sequence = journal.sequence;
        platform.set(vmKey(vm), toJson(row));
        platform.set(journalKey("dc1"), toJson(journal));
    }

    TEST(VmRows, jsonKeepsEveryField)
    {
        const WallTime at(Duration(1234567));
        const VmRow vm { "quoting", VmPhase::SlowStart, 7, "night#3", at, 9, true };
        EXPECT_EQ(fromJson<VmRow>(toJson(vm)), vm);
        const WaveRow wave { 3, WaveState::Paused, at, { { "q1", at } }, "3 failures" };
        EXPECT_EQ(fromJson<WaveRow>(toJson(wave)), wave);
        const LeaseRow lease { "n1", 4, 5 };
        EXPECT_EQ(fromJson<LeaseRow>(toJson(lease)), lease);
        const BudgetRow budget { { "q1", "q2" } };
        EXPECT_EQ(fromJson<BudgetRow>(toJson(budget)), budget);
    }

    // Guards against misreading a state that a newer version of the program has written.
    TEST(VmRows, unknownStateIsAnError)
    {
        EXPECT_THROW(
            fromJson<VmRow>(R"({"pool":"p","phase":"resting","incarnation":1,"since":0,"sequence":1})"), Error);
        EXPECT_THROW(fromJson<VmRow>("{}"), Error);
    }

    // Guards against reading all rows on every poll: 9 entry VMs that poll once a second would read 7,650 rows per
    // second for 850 VMs.
    TEST(VmView, readsOnlyChangedRows)
    {
        FakePlatform platform;
        auto hooks = platform.platform();
        std::size_t keysRead = 0;
        hooks.table.read = [&keysRead, inner = hooks.table.read](std::vector<std::string> keys, RowsHandler handler) {
            keysRead += keys.size();
            inner(std::move(keys), std::move(handler));
        };
        VmView view(hooks.table, "dc1", [] { return names; });
        const auto poll = [&] {
            view.poll();
            platform.deliver();
        };
        for (const auto& name : names)
            writeVmRow(platform, name, "p");
        poll();
        EXPECT_EQ(keysRead, 1 + names.size());
        poll();
        EXPECT_EQ(keysRead, 2 + names.size());
        writeVmRow(platform, "b", "q");
        writeVmRow(platform, "b", "r");
        poll();
        EXPECT_EQ(keysRead, 4 + names.size());
        EXPECT_EQ(view.find("b")->pool, "r");
        EXPECT_EQ(view.appliedSequence(), 6U);
    }

    // Guards against confirming changes that the view does not contain. Outages, answers in any order and more changes
    // than the journal keeps must leave each row at least as new as the applied sequence.
    RC_GTEST_PROP(VmView, containsEveryChangeUpToTheAppliedSequence, ())
    {
        FakePlatform platform;
        VmView view(platform.platform().table, "dc1", [] { return names; });
        std::map<std::string, std::vector<std::uint64_t>> written;
        std::uint64_t sequence = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
        for (const int step : steps) {
            if (step < 3) {
                const auto& name = names[static_cast<std::size_t>(step)];
                writeVmRow(platform, name, "p" + std::to_string(sequence));
                written[name].push_back(++sequence);
            } else if (step == 3) {
                for (std::size_t count = 0; count < JournalRow::ringSize + 1; ++count) {
                    writeVmRow(platform, "d", "p");
                    written["d"].push_back(++sequence);
                }
            } else if (step == 4) {
                platform.isUnavailable = !platform.isUnavailable;
            } else if (step == 5) {
                view.poll();
            } else {
                platform.deliverOne();
            }
            for (const auto& [name, sequences] : written) {
                std::uint64_t newest = 0;
                for (const auto at : sequences)
                    newest = at <= view.appliedSequence() ? at : newest;
                const auto* row = view.find(name);
                RC_ASSERT(newest == 0 || (row && row->sequence >= newest));
            }
        }
        platform.isUnavailable = false;
        platform.deliver();
        view.poll();
        platform.deliver();
        RC_ASSERT(view.appliedSequence() == sequence);
    }

} // namespace
} // namespace waxwinglug
