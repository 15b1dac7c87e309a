// RequestLedger: the requests of which this entry VM is the home node.
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
    this->entryBySequence[id.sequence] = { id, std::string(team), State::Issued, nullptr };
    this->issuedExpiries.push_back({ this->clock.now() + this->options.issuedIdTimeout, id.sequence });
    if (this->issuedExpiries.size() > this->options.maxIssuedIds)
        this->removeOldest(this->issuedExpiries, State::Issued);
    return id;
}

const RequestLedger::Entry* RequestLedger::find(const RequestId& id, std::string_view team) const
{
    const auto found = this->entryBySequence.find(id.sequence);
    if (found == this->entryBySequence.end() || found->second.id != id || found->second.team != team)
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
        this->entryBySequence[id.sequence].state = State::Running;
    return resolved;
}

void RequestLedger::finish(const RequestId& id, Outcome outcome, StoredAnswer answer)
{
    const auto found = this->entryBySequence.find(id.sequence);
    if (found == this->entryBySequence.end() || found->second.id != id || found->second.state != State::Running)
        return;
    const auto now = this->clock.now();
    if (outcome == Outcome::Unknown) {
        this->entryBySequence.erase(found);
    } else if (outcome == Outcome::NotRun) {
        // The caller may send the request again under the same id.
        found->second.state = State::Issued;
        this->issuedExpiries.push_back({ now + this->options.issuedIdTimeout, id.sequence });
    } else {
        this->storedAnswerBytes += answer.body.size();
        found->second.state = State::Answered;
        found->second.answer = std::make_shared<const StoredAnswer>(std::move(answer));
        this->answeredExpiries.push_back({ now + this->options.answerRetention, id.sequence });
    }
    while (this->storedAnswerBytes > this->options.maxAnswerBytes)
        this->removeOldest(this->answeredExpiries, State::Answered);
    if (this->issuedExpiries.size() > this->options.maxIssuedIds)
        this->removeOldest(this->issuedExpiries, State::Issued);
}

void RequestLedger::removeOldest(std::deque<Expiry>& list, State state)
{
    const auto found = this->entryBySequence.find(list.front().sequence);
    list.pop_front();
    if (found == this->entryBySequence.end() || found->second.state != state)
        return;
    if (found->second.answer)
        this->storedAnswerBytes -= found->second.answer->body.size();
    this->entryBySequence.erase(found);
}

void RequestLedger::expire()
{
    const auto now = this->clock.now();
    while (!this->issuedExpiries.empty() && this->issuedExpiries.front().at <= now)
        this->removeOldest(this->issuedExpiries, State::Issued);
    while (!this->answeredExpiries.empty() && this->answeredExpiries.front().at <= now)
        this->removeOldest(this->answeredExpiries, State::Answered);
}

} // namespace waxwinglug
