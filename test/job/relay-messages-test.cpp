// Encoding of relay messages: round trips, and hostile input.
#include "job/relay-messages.h"

#include <waxwinglug/error.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwinglug {
namespace {

    TaskId someTask() { return { "5c0e7a21d94b36f8", 3, 1, 17 }; }

    std::vector<RelayOrder> someOrders()
    {
        const Endpoint address { "10.1.0.23", 8521 };
        const StartOrder start { someTask(), 20'001, "command", 486'000, 7, "checkpoint", "ticket" };
        auto second = start;
        second.task.index = 18;
        return { { 1, "i-1", address, start }, { 2, "i-1", address, second },
            { 3, "i-2", address, StopOrder { someTask(), 20'001, 8 } },
            { 4, "i-2", address, ThrottleOrder { someTask(), 20'001, 50, 7 } },
            { 5, "i-3", address, RenewOrder { 7, 57, ServerClock(-5), Duration(1000) } },
            { 6, "i-3", address, RenewOrder { 7, 0, std::nullopt, Duration(0) } } };
    }

    std::vector<RelayResult> someResults()
    {
        RenewReport report;
        report.clock = 482'113;
        report.startedAt = WallTime(Duration(1'793'000'000'123));
        report.running.push_back({ someTask(), 20'001, "saved", 41, 900 });
        report.ended.push_back({ 58, someTask(), 20'002, RunEnd::GangIncomplete, "" });
        return { { 5, OrderStatus::Accepted, report }, { 1, OrderStatus::NotSent, {} } };
    }

} // namespace

TEST(RelayMessages, ordersSurviveTheRoundTrip)
{
    const auto batch = decodeRelayOrders(encodeRelayOrders(7, someOrders()));
    EXPECT_EQ(batch.term, 7U);
    ASSERT_EQ(batch.orders.size(), 6U);
    const auto& start = std::get<StartOrder>(batch.orders[1].order);
    EXPECT_EQ(start.task.index, 18);
    EXPECT_EQ(start.run, 20'001);
    EXPECT_EQ(start.command, "command");
    EXPECT_EQ(start.leaseUntil, 486'000);
    EXPECT_EQ(start.fence, 7U);
    EXPECT_EQ(start.checkpoint, "checkpoint");
    EXPECT_EQ(start.ticket, "ticket");
    EXPECT_EQ(batch.orders[1].address, (Endpoint { "10.1.0.23", 8521 }));
    EXPECT_EQ(std::get<StopOrder>(batch.orders[2].order).task, someTask());
    EXPECT_EQ(std::get<StopOrder>(batch.orders[2].order).fence, 8U) << "each order has a fence of its own";
    EXPECT_EQ(std::get<ThrottleOrder>(batch.orders[3].order).speedPercent, 50);
    const auto& renewal = std::get<RenewOrder>(batch.orders[4].order);
    EXPECT_EQ(renewal.lastStoredEnd, 57U);
    EXPECT_EQ(renewal.leaseUntil, ServerClock(-5));
    EXPECT_EQ(renewal.maxWait, Duration(1000));
    EXPECT_FALSE(std::get<RenewOrder>(batch.orders[5].order).leaseUntil);
}

TEST(RelayMessages, resultsSurviveTheRoundTrip)
{
    const auto batch = decodeRelayResults(encodeRelayResults("vm-1", someResults()));
    EXPECT_EQ(batch.relay, "vm-1");
    ASSERT_EQ(batch.results.size(), 2U);
    const auto& report = batch.results[0].report;
    EXPECT_EQ(report.clock, 482'113);
    EXPECT_EQ(report.startedAt, WallTime(Duration(1'793'000'000'123)));
    ASSERT_EQ(report.running.size(), 1U);
    EXPECT_EQ(report.running[0].progressPercent, 41);
    ASSERT_EQ(report.ended.size(), 1U);
    EXPECT_EQ(report.ended[0].end, RunEnd::GangIncomplete);
    EXPECT_EQ(batch.results[1].status, OrderStatus::NotSent);
}

// Guards against a relay that sends the command of a wide step once for each task over a slow link.
TEST(RelayMessages, commandOfAStepIsSentOnce)
{
    std::vector<RelayOrder> orders;
    for (int index = 0; index < 32; ++index) {
        const StartOrder start { { "5c0e7a21d94b36f8", 0, 0, index }, 1, std::string(4000, 'x'), 486'000, 7, "", "" };
        orders.push_back({ static_cast<std::uint64_t>(index), "i-1", { "10.1.0.23", 8521 }, start });
    }
    EXPECT_LT(encodeRelayOrders(7, orders).size(), 8000U);
}

// A truncated or altered message must end in an Error and nothing else, whichever byte it is.
RC_GTEST_PROP(RelayMessages, malformedMessagesAreRejected, ())
{
    auto message = *rc::gen::element(
        encodeRelayOrders(7, someOrders()), encodeRelayResults("vm-1", someResults()), encodeRelayPoll(7));
    const auto changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes; ++change) {
        const auto position = *rc::gen::inRange<std::size_t>(0, message.size());
        if (*rc::gen::arbitrary<bool>())
            message[position] = *rc::gen::arbitrary<char>();
        else
            message.resize(std::max<std::size_t>(position, 1));
    }
    const auto decode = [&message](auto decoder) {
        try {
            decoder(message);
        } catch (const Error& error) {
            RC_ASSERT(error.kind() == ErrorKind::Invalid);
        }
    };
    decode([](std::string_view text) { decodeRelayOrders(text); });
    decode([](std::string_view text) { decodeRelayResults(text); });
    decode([](std::string_view text) { decodeRelayPoll(text); });
}

TEST(RelayMessages, claimedLengthsAreCheckedBeforeMemoryIsReserved)
{
    std::string message = encodeRelayPoll(7);
    message[0] = 0x11; // a batch of orders with fence 7, and a number of commands of 2^62
    message += "\xff\xff\xff\xff\xff\xff\xff\xff\x3f";
    EXPECT_THROW(decodeRelayOrders(message), Error);
}

} // namespace waxwinglug
