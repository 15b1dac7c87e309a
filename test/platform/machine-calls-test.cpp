// Calls to the platform's machine service over loopback.
#include "wire.h"

#include "io/connection/caller-server.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace waxwinglug::wire {
namespace {

    constexpr std::chrono::seconds testTimeout { 20 };

    // Answers reads of the machine list at once and orders never.
    struct SlowMachineService {
        explicit SlowMachineService(boost::asio::io_context& context)
        {
            io::CallerHooks hooks;
            hooks.bodyLimitBytes = [](std::string_view) { return 10'000; };
            hooks.handle = [this](const io::HttpRequest& request, const io::Respond& respond) {
                if (request.method == "GET")
                    respond({ 200, {}, R"({"machines":[],"next_token":""})" });
                else
                    this->orders.push_back(respond);
                return std::function<void()>();
            };
            hooks.reject = [](int status, std::string_view, std::string_view) {
                return io::HttpResponse { status, {}, "" };
            };
            this->server = std::make_unique<io::CallerServer>(
                context, Endpoint { "127.0.0.1", 0 }, io::CallerLimits {}, std::move(hooks));
        }

        Endpoint address() const { return { "127.0.0.1", this->server->port() }; }

        std::vector<io::Respond> orders;
        std::unique_ptr<io::CallerServer> server;
    };

} // namespace

// An order takes about 80 ms. Guards against a fleet of a thousand machines that are moved and maintained two at a
// time: the orders of a peak then wait for seconds, with their machines cordoned.
TEST(MachineCalls, ordersAreSentAtTheRateThatThePlatformAccepts)
{
    boost::asio::io_context context;
    io::AsyncHttpClient client(context, systemClock());
    SlowMachineService service(context);
    constexpr double acceptedPerSecond = 400;
    const auto calls = makeMachineCalls(client, service.address(), "vm", acceptedPerSecond);
    constexpr std::size_t orders = 40;
    bool isAnyGivenUp = false; // the next order takes its place
    for (std::size_t number = 0; number < orders; ++number)
        calls.move("machine-" + std::to_string(number), "pool", 1,
            [&isAnyGivenUp](MachineOrderStatus) { isAnyGivenUp = true; });
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (service.orders.size() < orders && !isAnyGivenUp && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(20));
    EXPECT_EQ(service.orders.size(), orders);
}

// Guards against a leader that knows its machines only as they were before a series of orders.
TEST(MachineCalls, machineListDoesNotWaitForOrders)
{
    boost::asio::io_context context;
    io::AsyncHttpClient client(context, systemClock());
    SlowMachineService service(context);
    const auto calls = makeMachineCalls(client, service.address(), "vm", 20);
    bool orderIsAnswered = false;
    for (int number = 0; number < 40; ++number)
        calls.maintain("machine-" + std::to_string(number), 1, 1,
            [&orderIsAnswered](MachineOrderStatus) { orderIsAnswered = true; });
    std::optional<std::size_t> listed;
    calls.list([&listed, &orderIsAnswered](const std::optional<std::vector<MachineRecord>>& machines) {
        if (machines && !orderIsAnswered)
            listed = machines->size();
    });
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!listed && !orderIsAnswered && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(20));
    EXPECT_EQ(listed, std::optional<std::size_t>(0));
}

} // namespace waxwinglug::wire
