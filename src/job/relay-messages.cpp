// Writer and reader of relay messages.
#include "job/relay-messages.h"

#include <waxwinglug/error.h>

#include <limits>
#include <unordered_map>

namespace waxwinglug {
namespace {

    // First byte of a message: its type and the version of the format.
    enum class MessageType : std::uint8_t {
        Orders = 0x21,
        Results = 0x12,
        Poll = 0x13,
    };
    enum class OrderType : std::uint8_t {
        Start,
        Stop,
        Throttle,
        Renew,
    };
    // Bounds the memory that a decoder reserves for a claimed number of elements.
    constexpr std::uint64_t maxElements = 100'000;

    [[noreturn]] void throwMalformed(std::string_view problem)
    {
        throw Error(ErrorKind::Invalid, problem, "check that all entry VMs run the same version");
    }

    class Writer {
    public:
        explicit Writer(MessageType type) { this->bytes += static_cast<char>(type); }
        void number(std::uint64_t value)
        {
            for (; value >= 0x80; value >>= 7U)
                this->bytes += static_cast<char>((value & 0x7fU) | 0x80U);
            this->bytes += static_cast<char>(value);
        }
        // Small negative numbers are rare, so they take ten bytes.
        void signedNumber(std::int64_t value) { this->number(static_cast<std::uint64_t>(value)); }
        void text(std::string_view value)
        {
            this->number(value.size());
            this->bytes += value;
        }
        void task(const TaskId& id)
        {
            this->text(id.job);
            this->signedNumber(id.occurrence);
            this->signedNumber(id.step);
            this->signedNumber(id.index);
        }
        std::string take() { return std::move(this->bytes); }

    private:
        std::string bytes;
    };

    class Reader {
    public:
        Reader(MessageType type, std::string_view message)
            : rest(message)
        {
            if (this->byte() != static_cast<std::uint8_t>(type))
                throwMalformed("relay message of another type");
        }
        std::uint64_t number()
        {
            std::uint64_t value = 0;
            for (unsigned shift = 0; shift < 64; shift += 7) {
                const auto next = this->byte();
                value |= static_cast<std::uint64_t>(next & 0x7fU) << shift;
                if (next < 0x80)
                    return value;
            }
            throwMalformed("number in a relay message is too long");
        }
        std::int64_t signedNumber() { return static_cast<std::int64_t>(this->number()); }
        int integer()
        {
            const auto value = this->signedNumber();
            if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max())
                throwMalformed("number in a relay message is out of range");
            return static_cast<int>(value);
        }
        template <typename Enum> Enum enumerator(Enum last)
        {
            const auto value = this->number();
            if (value > static_cast<std::uint64_t>(last))
                throwMalformed("unknown value in a relay message");
            return static_cast<Enum>(value);
        }
        std::string text()
        {
            const auto size = this->number();
            if (size > this->rest.size())
                throwMalformed("relay message is truncated");
            std::string value(this->rest.substr(0, size));
            this->rest.remove_prefix(size);
            return value;
        }
        TaskId task()
        {
            TaskId id;
            id.job = this->text();
            id.occurrence = this->integer();
            id.step = this->integer();
            id.index = this->integer();
            return id;
        }
        std::size_t count()
        {
            const auto value = this->number();
            // An element takes at least one byte.
            if (value > maxElements || value > this->rest.size())
                throwMalformed("list in a relay message is too long");
            return static_cast<std::size_t>(value);
        }
        void end() const
        {
            if (!this->rest.empty())
                throwMalformed("relay message has extra bytes");
        }

    private:
        std::uint8_t byte()
        {
            if (this->rest.empty())
                throwMalformed("relay message is truncated");
            const auto value = static_cast<std::uint8_t>(this->rest.front());
            this->rest.remove_prefix(1);
            return value;
        }

        std::string_view rest;
    };

    // Index of each distinct command of a batch.
    using CommandIndex = std::unordered_map<std::string_view, std::size_t>;

    struct OrderWriter {
        Writer& writer;
        const CommandIndex& commands;

        void begin(OrderType type, std::uint64_t fence) const
        {
            this->writer.number(static_cast<std::uint64_t>(type));
            this->writer.number(fence);
        }
        void operator()(const StartOrder& order) const
        {
            this->begin(OrderType::Start, order.fence);
            this->writer.task(order.task);
            this->writer.signedNumber(order.run);
            this->writer.number(this->commands.at(order.command));
            this->writer.signedNumber(order.leaseUntil);
            this->writer.text(order.checkpoint);
            this->writer.text(order.ticket);
        }
        void operator()(const StopOrder& order) const
        {
            this->begin(OrderType::Stop, order.fence);
            this->writer.task(order.task);
            this->writer.signedNumber(order.run);
        }
        void operator()(const ThrottleOrder& order) const
        {
            this->begin(OrderType::Throttle, order.fence);
            this->writer.task(order.task);
            this->writer.signedNumber(order.run);
            this->writer.signedNumber(order.speedPercent);
        }
        void operator()(const RenewOrder& order) const
        {
            this->begin(OrderType::Renew, order.fence);
            this->writer.number(order.lastStoredEnd);
            this->writer.number(order.leaseUntil ? 1 : 0);
            this->writer.signedNumber(order.leaseUntil.value_or(0));
            this->writer.signedNumber(order.maxWait.count());
        }
    };

    StartOrder readStart(Reader& reader, std::uint64_t fence, const std::vector<std::string>& commands)
    {
        StartOrder order;
        order.task = reader.task();
        order.run = reader.integer();
        const auto command = reader.number();
        if (command >= commands.size())
            throwMalformed("unknown command in a relay message");
        order.command = commands[command];
        order.leaseUntil = reader.signedNumber();
        order.checkpoint = reader.text();
        order.ticket = reader.text();
        order.fence = fence;
        return order;
    }

    RenewOrder readRenewal(Reader& reader, std::uint64_t fence)
    {
        RenewOrder order;
        order.fence = fence;
        order.lastStoredEnd = reader.number();
        const bool hasLease = reader.number() != 0;
        const auto until = reader.signedNumber();
        if (hasLease)
            order.leaseUntil = until;
        order.maxWait = Duration(reader.integer());
        return order;
    }

    void writeReport(Writer& writer, const RenewReport& report)
    {
        writer.signedNumber(report.clock);
        writer.number(report.startedAt ? 1 : 0);
        writer.signedNumber(report.startedAt.value_or(WallTime {}).time_since_epoch().count());
        writer.number(report.running.size());
        for (const auto& running : report.running) {
            writer.task(running.task);
            writer.signedNumber(running.run);
            writer.text(running.checkpoint);
            writer.signedNumber(running.progressPercent);
            writer.signedNumber(running.load);
        }
        writer.number(report.ended.size());
        for (const auto& ended : report.ended) {
            writer.number(ended.number);
            writer.task(ended.task);
            writer.signedNumber(ended.run);
            writer.number(static_cast<std::uint64_t>(ended.end));
            writer.text(ended.checkpoint);
        }
    }

    RenewReport readReport(Reader& reader)
    {
        RenewReport report;
        report.clock = reader.signedNumber();
        const bool hasStart = reader.number() != 0;
        const auto startedAt = reader.signedNumber();
        if (hasStart)
            report.startedAt = WallTime(Duration(startedAt));
        report.running.resize(reader.count());
        for (auto& running : report.running) {
            running.task = reader.task();
            running.run = reader.integer();
            running.checkpoint = reader.text();
            running.progressPercent = reader.integer();
            running.load = reader.signedNumber();
        }
        report.ended.resize(reader.count());
        for (auto& ended : report.ended) {
            ended.number = reader.number();
            ended.task = reader.task();
            ended.run = reader.integer();
            ended.end = reader.enumerator(RunEnd::GangIncomplete);
            ended.checkpoint = reader.text();
        }
        return report;
    }

} // namespace

std::string encodeRelayOrders(std::uint64_t term, const std::vector<RelayOrder>& orders)
{
    Writer writer(MessageType::Orders);
    writer.number(term);
    CommandIndex index;
    std::vector<std::string_view> commands;
    for (const auto& order : orders) {
        const auto* start = std::get_if<StartOrder>(&order.order);
        if (start && index.emplace(start->command, commands.size()).second)
            commands.push_back(start->command);
    }
    writer.number(commands.size());
    for (const auto command : commands)
        writer.text(command);
    writer.number(orders.size());
    for (const auto& order : orders) {
        writer.number(order.id);
        writer.text(order.server);
        writer.text(order.address.host);
        writer.number(order.address.port);
        std::visit(OrderWriter { writer, index }, order.order);
    }
    return writer.take();
}

RelayOrderBatch decodeRelayOrders(std::string_view message)
{
    Reader reader(MessageType::Orders, message);
    RelayOrderBatch batch;
    batch.term = reader.number();
    std::vector<std::string> commands(reader.count());
    for (auto& command : commands)
        command = reader.text();
    batch.orders.resize(reader.count());
    for (auto& order : batch.orders) {
        order.id = reader.number();
        order.server = reader.text();
        order.address.host = reader.text();
        const auto port = reader.number();
        if (port > std::numeric_limits<std::uint16_t>::max())
            throwMalformed("port in a relay message is out of range");
        order.address.port = static_cast<std::uint16_t>(port);
        const auto type = reader.enumerator(OrderType::Renew);
        const auto fence = reader.number();
        switch (type) {
        case OrderType::Start:
            order.order = readStart(reader, fence, commands);
            break;
        case OrderType::Stop: {
            auto task = reader.task();
            order.order = StopOrder { std::move(task), reader.integer(), fence };
            break;
        }
        case OrderType::Throttle: {
            auto task = reader.task();
            const int run = reader.integer();
            order.order = ThrottleOrder { std::move(task), run, reader.integer(), fence };
            break;
        }
        case OrderType::Renew:
            order.order = readRenewal(reader, fence);
            break;
        }
    }
    reader.end();
    return batch;
}

std::string encodeRelayResults(std::string_view relay, const std::vector<RelayResult>& results)
{
    Writer writer(MessageType::Results);
    writer.text(relay);
    writer.number(results.size());
    for (const auto& result : results) {
        writer.number(result.id);
        writer.number(static_cast<std::uint64_t>(result.status));
        writeReport(writer, result.report);
    }
    return writer.take();
}

RelayResultBatch decodeRelayResults(std::string_view message)
{
    Reader reader(MessageType::Results, message);
    RelayResultBatch batch;
    batch.relay = reader.text();
    batch.results.resize(reader.count());
    for (auto& result : batch.results) {
        result.id = reader.number();
        result.status = reader.enumerator(OrderStatus::Unknown);
        result.report = readReport(reader);
    }
    reader.end();
    return batch;
}

std::string encodeRelayPoll(std::uint64_t fence)
{
    Writer writer(MessageType::Poll);
    writer.number(fence);
    return writer.take();
}

std::uint64_t decodeRelayPoll(std::string_view message)
{
    Reader reader(MessageType::Poll, message);
    const auto fence = reader.number();
    reader.end();
    return fence;
}

} // namespace waxwinglug
