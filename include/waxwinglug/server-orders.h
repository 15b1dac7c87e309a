// Orders to backend servers and the answers to them.
#pragma once

#include <waxwinglug/work.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglug {

// Time on a backend server's steady clock, in milliseconds since the server started.
using ServerClock = std::int64_t;

struct StartOrder {
    TaskId task;
    int run = 0;
    std::string command;
    // Deadline of the order: the server refuses it later than this. Every lease on the server is extended at least
    // until this time.
    ServerClock leaseUntil = 0;
    std::uint64_t fence = 0;
    std::string checkpoint; // empty: start from the beginning
    std::string ticket; // permission from the advice service; empty: none
};

struct StopOrder {
    TaskId task;
    int run = 0;
    std::uint64_t fence = 0;
};

// Limits a running task to a percentage of full speed.
struct ThrottleOrder {
    TaskId task;
    int run = 0;
    int speedPercent = 100;
    std::uint64_t fence = 0;
};

// Renews the lease of every run on a server and requests its running tasks and ended runs.
struct RenewOrder {
    std::uint64_t fence = 0;
    // Ends up to this number are in the store; the server may discard them.
    std::uint64_t lastStoredEnd = 0;
    // If empty, the lease is not changed.
    std::optional<ServerClock> leaseUntil;
    // The server may delay its answer by up to this time until a run ends.
    Duration maxWait { 0 };
};

struct RunningTask {
    TaskId task;
    int run = 0;
    std::string checkpoint;
    int progressPercent = 0;
    // Tail latency in milliseconds for a task that serves users; processor use in thousandths of a core for any other
    // task.
    std::int64_t load = 0;
};

struct EndedRun {
    std::uint64_t number = 0; // counts from 1 in each incarnation of the server
    TaskId task;
    int run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

struct RenewReport {
    ServerClock clock = 0;
    // Start of the incarnation that answers.
    std::optional<WallTime> startedAt;
    std::vector<RunningTask> running;
    std::vector<EndedRun> ended;
};

enum class OrderStatus {
    Accepted,
    FenceTooLow, // the server has seen a higher fence
    RunTooOld, // this run or a later one was stopped or has ended on the server
    TooLate, // leaseUntil has passed
    NoCapacity,
    TicketInvalid,
    OtherIncarnation, // another incarnation of the server, or another server, has this address
    Unhealthy, // the server refused the order and did nothing
    Malformed,
    NotSent, // no connection; the order was not carried out
    Unknown, // no answer; the order may have been carried out or may be carried out later
};

std::string_view orderStatusName(OrderStatus status);

// Answer to a start, stop or throttle order.
struct OrderAnswer {
    OrderStatus status = OrderStatus::Unknown;
    // Time on the server's clock when it answered. A later incarnation than the one that the order was meant for names
    // an earlier time. Empty: there is no answer, or it names no time.
    std::optional<ServerClock> clock {};
};

} // namespace waxwinglug
