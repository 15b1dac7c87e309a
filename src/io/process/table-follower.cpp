// Reading and following one table.
#include "io/process/table-follower.h"

#include <utility>

namespace waxwinglug::io {
namespace {

    // Deadline of reading one page: several slow answers of the store (60 times 4 ms) and the transfer of 1 MB.
    constexpr Duration listDeadline { 900 };
    // A quiet store answers this often, so that a dead connection is noticed within about a second.
    constexpr Duration followWait { 500 };
    // Pause after a call without an answer.
    constexpr Duration retryPause { 100 };

} // namespace

struct TableFollower::State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context& context, const RowStore& rowStore, std::string tableName,
        std::vector<std::string> tableParts, std::uint64_t least, FollowerHooks followerHooks)
        : store(rowStore)
        , table(std::move(tableName))
        , parts(std::move(tableParts))
        , newest(least)
        , hooks(std::move(followerHooks))
        , timer(context)
    {
    }

    void later(void (State::*step)())
    {
        this->timer.expires_after(retryPause);
        this->timer.async_wait([weak = this->weak_from_this(), step](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                (self.get()->*step)();
        });
    }

    void readWhole()
    {
        this->rows.clear();
        this->firstVersion = 0;
        this->partNumber = 0;
        this->lastKey.clear();
        this->readPage();
    }

    void readPage()
    {
        // The smallest key after the last one that was read.
        const auto key = this->lastKey.empty() ? std::string() : this->lastKey + '\0';
        this->store.list({ this->table, this->parts[this->partNumber], key }, "", listDeadline,
            [weak = this->weak_from_this()](std::optional<RowPage> page) {
                if (const auto self = weak.lock())
                    self->onPage(std::move(page));
            });
    }

    void onPage(std::optional<RowPage> page)
    {
        if (!page) {
            this->noteSilence();
            return this->later(&State::readWhole);
        }
        this->noteAnswer();
        if (page->version < this->newest) {
            this->hooks.log("stale answer of the store is read again",
                { { "table", this->table }, { "version", page->version }, { "known", this->newest } });
            return this->later(&State::readWhole);
        }
        // Changes during the reading of several pages are followed from the first one.
        if (this->firstVersion == 0)
            this->firstVersion = page->version;
        const bool more = page->hasMore && !page->rows.empty();
        this->lastKey = more ? page->rows.back().name.key : std::string();
        std::ranges::move(page->rows, std::back_inserter(this->rows));
        if (more || ++this->partNumber < this->parts.size())
            return this->readPage();
        this->newest = std::max(this->newest, this->firstVersion);
        const auto whole = std::exchange(this->rows, {});
        const auto self = this->shared_from_this();
        this->hooks.whole(whole);
        this->follow();
    }

    void follow()
    {
        this->store.follow(this->table, this->newest, followWait, [weak = this->weak_from_this()](FollowResult result) {
            if (const auto self = weak.lock())
                self->onChanges(result);
        });
    }

    void onChanges(const FollowResult& result)
    {
        if (result.status == FollowStatus::NoAnswer) {
            this->noteSilence();
            return this->later(&State::follow);
        }
        this->noteAnswer();
        if (result.status == FollowStatus::HistoryGone) {
            this->hooks.log("history of the store is gone", { { "table", this->table }, { "known", this->newest } });
            return this->readWhole();
        }
        this->newest = std::max(this->newest, result.version);
        if (!result.rows.empty())
            this->hooks.changes(result.rows);
        this->follow();
    }

    void noteSilence()
    {
        this->hooks.silent();
        if (std::exchange(this->silent, true))
            return;
        this->hooks.log("the store does not answer", { { "table", this->table } });
    }

    void noteAnswer()
    {
        if (std::exchange(this->silent, false))
            this->hooks.log("the store answers again", { { "table", this->table } });
        this->hooks.heard();
    }

    const RowStore& store;
    const std::string table;
    const std::vector<std::string> parts;
    std::uint64_t newest;
    const FollowerHooks hooks;
    boost::asio::steady_timer timer;
    std::vector<StoredRow> rows; // pages read so far
    std::size_t partNumber = 0; // that is being read
    std::string lastKey; // of the part so far; empty: none
    std::uint64_t firstVersion = 0;
    bool silent = false;
};

TableFollower::TableFollower(boost::asio::io_context& context, const RowStore& store, std::string table,
    std::vector<std::string> parts, std::uint64_t least, FollowerHooks hooks)
    : state(std::make_shared<State>(context, store, std::move(table), std::move(parts), least, std::move(hooks)))
{
}

TableFollower::~TableFollower() = default;

void TableFollower::start() { this->state->readWhole(); }

} // namespace waxwinglug::io
