// Binary encoding of the batches that the leader exchanges with its relays.
//
// Numbers are variable-length integers (LEB128), texts a length and their bytes. Decoders check every length against
// the bytes that are left, so a malformed message costs an exception and nothing else.
#pragma once

#include <waxwinglug/server-orders.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwinglug {

struct RelayOrder {
    std::uint64_t id = 0; // names the order in its result; unique within a term
    std::string server;
    Endpoint address;
    std::variant<StartOrder, StopOrder, ThrottleOrder, RenewOrder> order;
};

struct RelayResult {
    std::uint64_t id = 0;
    OrderStatus status = OrderStatus::Unknown;
    RenewReport report; // of an accepted renewal; of another order, only the clock, 0 if its answer names none
};

// `term` is the fence of the leader's term; each order has its own one for the backend server. Tasks of one step
// usually have the same command, which is encoded once.
std::string encodeRelayOrders(std::uint64_t term, const std::vector<RelayOrder>& orders);
struct RelayOrderBatch {
    std::uint64_t term = 0;
    std::vector<RelayOrder> orders;
};
// Throws Error (Invalid) if the message is malformed.
RelayOrderBatch decodeRelayOrders(std::string_view message);

// `relay` names the VM that answers.
std::string encodeRelayResults(std::string_view relay, const std::vector<RelayResult>& results);
struct RelayResultBatch {
    std::string relay;
    std::vector<RelayResult> results;
};
// Throws Error (Invalid) if the message is malformed.
RelayResultBatch decodeRelayResults(std::string_view message);

// A request for results, by the leader of this term.
std::string encodeRelayPoll(std::uint64_t fence);
// Throws Error (Invalid) if the message is malformed.
std::uint64_t decodeRelayPoll(std::string_view message);

} // namespace waxwinglug
