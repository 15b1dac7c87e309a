// Orders to backend servers and what they answer.
#pragma once

#include <waxwinglug/work.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglug {

// Times on a backend server's own steady clock, in milliseconds since its start.
using ServerClock = std::int64_t;

struct StartOrder {
    TaskId task;
    int run = 0;
    std::string command;
    // The order is refused after this moment, and everything on the server keeps its lease at least until then.
    ServerClock leaseUntil = 0;
    std::uint64_t fence = 0;
    std::string checkpoint; // empty: start from the beginning
    std::string ticket; // permission of the advice service; empty: none
};

struct StopOrder {
    TaskId task;
    int run = 0;
    std::uint64_t fence = 0;
};

// Slows a running task to a share of its speed.
struct ThrottleOrder {
    TaskId task;
    int run = 0;
    int speedPercent = 100;
    std::uint64_t fence = 0;
};

// Extends the lease on everything that runs on a server, and asks what runs and what has ended there.
struct RenewOrder {
    std::uint64_t fence = 0;
    // Ends up to this number are stored and may be forgotten.
    std::uint64_t lastStoredEnd = 0;
    // Nothing: leave the lease as it is.
    std::optional<ServerClock> leaseUntil;
    // How long the answer may wait for the next end.
    Duration maxWait { 0 };
};

struct RunningTask {
    TaskId task;
    int run = 0;
    std::string checkpoint;
    int progressPercent = 0;
    // Tail latency in milliseconds of a task that serves users, otherwise processor use in thousandths of a core.
    std::int64_t load = 0;
};

struct EndedRun {
    std::uint64_t number = 0; // counts from 1 in each life of the server
    TaskId task;
    int run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

struct RenewReport {
    ServerClock clock = 0;
    // Start of the life that answers.
    std::optional<WallTime> startedAt;
    std::vector<RunningTask> running;
    std::vector<EndedRun> ended;
};

enum class OrderStatus {
    Accepted,
    FenceTooLow, // the server has seen a higher fence
    RunTooOld, // this or a higher run was stopped or has ended there
    TooLate, // leaseUntil has passed
    NoCapacity,
    TicketInvalid,
    OtherIncarnation, // another life of the server, or another server, has this address
    Unhealthy, // the server refused; nothing was done
    Malformed,
    NotSent, // no connection; nothing was done
    Unknown, // may have been carried out, or may be later
};

std::string_view orderStatusName(OrderStatus status);

} // namespace waxwinglug
