// Requests of which this entry VM is the home node.
#include <waxwinglug/at-most-once.h>

#include <utility>

namespace waxwinglug {

RequestLedger::RequestLedger(RequestIdSource idSource, LedgerOptions ledgerOptions, Clock time)
    : source(std::move(idSource))
    , options(ledgerOptions)
    , clock(std::move(time))
{
}

RequestId RequestLedger::issue(std::string_view team)
{
    auto id = this->source.next();
    this->known[id.sequence] = { id, std::string(team), State::Issued, nullptr };
    this->issued.push_back({ this->clock.now() + this->options.issuedTime, id.sequence });
    if (this->issued.size() > this->options.mostIssued)
        this->dropFirst(this->issued, State::Issued);
    return id;
}

const RequestLedger::Entry* RequestLedger::find(const RequestId& id, std::string_view team) const
{
    const auto found = this->known.find(id.sequence);
    if (found == this->known.end() || found->second.id != id || found->second.team != team)
        return nullptr;
    return &found->second;
}

RequestLedger::Resolved RequestLedger::resolve(const RequestId& id, std::string_view team) const
{
    if (id.home.name != this->source.self().name)
        return { Resolution::Elsewhere, nullptr };
    const auto* entry = this->find(id, team);
    if (!entry)
        return { Resolution::Unknown, nullptr };
    if (entry->state == State::Answered)
        return { Resolution::Answered, entry->answer };
    return { entry->state == State::Issued ? Resolution::Run : Resolution::Running, nullptr };
}

RequestLedger::Resolved RequestLedger::begin(const RequestId& id, std::string_view team)
{
    auto resolved = this->resolve(id, team);
    if (resolved.resolution == Resolution::Run)
        this->known[id.sequence].state = State::Running;
    return resolved;
}

void RequestLedger::finish(const RequestId& id, Outcome outcome, StoredAnswer answer)
{
    const auto found = this->known.find(id.sequence);
    if (found == this->known.end() || found->second.id != id || found->second.state != State::Running)
        return;
    const auto now = this->clock.now();
    if (outcome == Outcome::Unknown) {
        this->known.erase(found);
    } else if (outcome == Outcome::NotRun) {
        // The caller may send it again under the same id.
        found->second.state = State::Issued;
        this->issued.push_back({ now + this->options.issuedTime, id.sequence });
    } else {
        this->bytes += answer.body.size();
        found->second.state = State::Answered;
        found->second.answer = std::make_shared<const StoredAnswer>(std::move(answer));
        this->answered.push_back({ now + this->options.answerTime, id.sequence });
    }
    while (this->bytes > this->options.answerBytes)
        this->dropFirst(this->answered, State::Answered);
    if (this->issued.size() > this->options.mostIssued)
        this->dropFirst(this->issued, State::Issued);
}

void RequestLedger::dropFirst(std::deque<Expiry>& list, State state)
{
    const auto found = this->known.find(list.front().sequence);
    list.pop_front();
    if (found == this->known.end() || found->second.state != state)
        return;
    if (found->second.answer)
        this->bytes -= found->second.answer->body.size();
    this->known.erase(found);
}

void RequestLedger::expire()
{
    const auto now = this->clock.now();
    while (!this->issued.empty() && this->issued.front().at <= now)
        this->dropFirst(this->issued, State::Issued);
    while (!this->answered.empty() && this->answered.front().at <= now)
        this->dropFirst(this->answered, State::Answered);
}

} // namespace waxwinglug
