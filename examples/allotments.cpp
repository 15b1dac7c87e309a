// Embeds the allotments without the daemons: one node takes units of a limit from an in-memory table and starts work.
#include <waxwinglug/allotments.h>

#include <cstdio>

using namespace waxwinglug;

int main()
{
    std::map<std::string, Row> rows;
    Table table;
    table.read = [&](const std::vector<std::string>& keys, const RowsHandler& handler) {
        std::vector<Row> found;
        for (const auto& key : keys)
            found.push_back(rows.contains(key) ? rows[key] : Row { key, "", 0 });
        handler(found);
    };
    table.commit = [&](const std::vector<RowWrite>& writes, const CommitHandler& handler) {
        for (const auto& write : writes)
            rows[write.key] = { write.key, write.value.value_or(""), write.expectedVersion + 1 }; // the only writer
        handler({ CommitStatus::Committed, {} });
    };
    const AllotmentHooks noPeers { [](const auto&) { return false; }, [](auto&&...) {}, [](auto&&...) {} };
    ManualClock clock;
    Allotments allotments({ "e1", 1 }, {}, clock.clock(), table, noPeers);
    allotments.setLimit("team/north", 3, 1);
    allotments.setWaiting("team/north", 5);
    for (int i = 0; i < 100; ++i) {
        clock.advance(std::chrono::milliseconds(50));
        allotments.tick();
    }
    int started = 0;
    while (allotments.acquire("team/north"))
        ++started;
    std::printf("%d of 5 requests started, the limit is 3\n", started);
    return started == 3 ? 0 : 1;
}
