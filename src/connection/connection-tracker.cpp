// Rules for the reuse of pooled connections.
#include <waxwinglug/connection.h>

#include <algorithm>
#include <utility>

namespace waxwinglug {

ConnectionTracker::ConnectionTracker(
    ConnectionOptions connectionOptions, Clock source, std::function<void(ConnectionId)> closeHook)
    : options(connectionOptions)
    , clock(std::move(source))
    , close(std::move(closeHook))
{
}

ConnectionTracker::Server& ConnectionTracker::serverAt(ServerIndex server)
{
    if (server >= this->servers.size())
        this->servers.resize(server + 1);
    return this->servers[server];
}

void ConnectionTracker::setLimit(ServerIndex server, int connections) { this->serverAt(server).limit = connections; }

int ConnectionTracker::connections(ServerIndex server) const
{
    return server < this->servers.size() ? static_cast<int>(this->servers[server].connections.size()) : 0;
}

ConnectionTracker::Connection* ConnectionTracker::find(ConnectionId id)
{
    const auto found = this->serverByConnection.find(id);
    if (found == this->serverByConnection.end())
        return nullptr;
    auto& list = this->servers[found->second].connections;
    const auto at = std::lower_bound(list.begin(), list.end(), id,
        [](const Connection& connection, ConnectionId key) { return connection.id < key; });
    return &*at;
}

ConnectionGrant ConnectionTracker::acquire(ServerIndex index, bool idempotent, std::uint64_t use)
{
    const auto now = this->clock.now();
    auto& server = this->serverAt(index);
    Connection* best = nullptr;
    ConnectionId oldestIdle = 0;
    for (auto& connection : server.connections) {
        if (connection.state != State::Idle)
            continue;
        if (oldestIdle == 0)
            oldestIdle = connection.id;
        if (!idempotent && now - *connection.answeredAt > this->options.maxProofAge)
            continue;
        // Prefers the connection with the most recent answer, so that surplus connections become idle and are closed.
        if (!best || *connection.answeredAt >= *best->answeredAt)
            best = &connection;
    }
    if (best) {
        best->state = State::Busy;
        best->use = use;
        best->startedAt = now;
        return { ConnectionGrant::Kind::Reuse, best->id };
    }
    // Closes an idle connection that this request may not use, so that it does not block a new one at the limit.
    if (static_cast<int>(server.connections.size()) >= server.limit && oldestIdle != 0) {
        this->find(oldestIdle)->state = State::Closing;
        this->close(oldestIdle);
    }
    if (this->connections(index) >= this->servers[index].limit)
        return {};
    const auto id = ++this->lastId;
    this->servers[index].connections.push_back({ id, State::Busy, use, now, std::nullopt, false });
    this->serverByConnection[id] = index;
    return { ConnectionGrant::Kind::Open, id };
}

bool ConnectionTracker::markAnswered(ConnectionId id, std::uint64_t use, bool keepAlive)
{
    auto* connection = this->find(id);
    if (!connection || connection->state != State::Busy || connection->use != use)
        return false;
    connection->answeredAt = this->clock.now();
    const bool reusable = keepAlive && !connection->isRetired;
    connection->state = reusable ? State::Idle : State::Closing;
    auto& server = this->servers[this->serverByConnection[id]];
    if (!server.timedOut.empty() && id > server.timedOut.front())
        this->retireOlderThan(server, id);
    if (!reusable)
        this->close(id);
    return true;
}

void ConnectionTracker::abandon(ConnectionId id, std::uint64_t use, bool timedOut)
{
    auto* connection = this->find(id);
    if (!connection || connection->state != State::Busy || connection->use != use)
        return;
    connection->state = State::Closing;
    if (timedOut) {
        auto& server = this->servers[this->serverByConnection[id]];
        server.timedOut.insert(std::upper_bound(server.timedOut.begin(), server.timedOut.end(), id), id);
        const auto startedAt = connection->startedAt;
        ConnectionId newestWorking = 0;
        for (const auto& other : server.connections) {
            if (other.id > id && other.answeredAt && *other.answeredAt >= startedAt)
                newestWorking = other.id;
        }
        if (newestWorking != 0)
            this->retireOlderThan(server, newestWorking);
    }
    this->close(id);
}

void ConnectionTracker::retireOlderThan(Server& server, ConnectionId id)
{
    std::erase_if(server.timedOut, [id](ConnectionId old) { return old < id; });
    std::vector<ConnectionId> idle;
    for (auto& connection : server.connections) {
        if (connection.id >= id)
            break;
        connection.isRetired = true;
        if (connection.state == State::Idle) {
            connection.state = State::Closing;
            idle.push_back(connection.id);
        }
    }
    this->closeAll(idle);
}

// The close hook may remove connections, so it is called only after the iteration over them.
void ConnectionTracker::closeAll(std::span<const ConnectionId> ids)
{
    for (const auto id : ids)
        this->close(id);
}

void ConnectionTracker::markClosed(ConnectionId id)
{
    const auto found = this->serverByConnection.find(id);
    if (found == this->serverByConnection.end())
        return;
    std::erase_if(
        this->servers[found->second].connections, [id](const Connection& connection) { return connection.id == id; });
    this->serverByConnection.erase(found);
}

void ConnectionTracker::closeIdle()
{
    const auto now = this->clock.now();
    std::vector<ConnectionId> idle;
    for (auto& server : this->servers) {
        for (auto& connection : server.connections) {
            if (connection.state == State::Idle && now - *connection.answeredAt > this->options.idleTimeout) {
                connection.state = State::Closing;
                idle.push_back(connection.id);
            }
        }
    }
    this->closeAll(idle);
}

} // namespace waxwinglug
