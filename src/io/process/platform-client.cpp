// Queue of platform calls, the thread that makes them, and the JSON format of requests and answers.
#include "io/process/platform-client.h"

#include <waxwinglug/json.h>

#include "cxxtools/http-client.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace waxwinglug::io {
namespace {

    using detail::HttpResult;

    constexpr std::chrono::milliseconds callTimeout { 2000 };

    struct Call {
        std::string method;
        std::string path;
        std::string body;
        // Whether the HTTP library may send the call twice. It must not repeat a commit: the second copy would conflict
        // with the first, and the commit would be reported as not applied.
        bool isRepeatable = true;
        std::function<void(const HttpResult&)> handler;
        std::chrono::steady_clock::time_point deadline;
    };

    bool isSuccessful(const HttpResult& result)
    {
        return result.state == HttpResult::State::Answered && result.status >= 200 && result.status < 300;
    }

    Row parseRow(const Json& json)
    {
        return { json.at("key").get<std::string>(), json.at("value").get<std::string>(),
            json.at("version").get<std::uint64_t>() };
    }

    std::vector<Row> parseRows(const Json& json)
    {
        std::vector<Row> rows;
        std::transform(json.begin(), json.end(), std::back_inserter(rows), parseRow);
        return rows;
    }

    VmState parseVmState(const std::string& text)
    {
        if (text == "live")
            return VmState::Live;
        return text == "gone" ? VmState::Gone : VmState::Leaving;
    }

    // Returns nullopt if the call did not succeed or the answer is malformed.
    template <typename Parse>
    auto parseAnswer(const HttpResult& result, Parse parse) -> std::optional<decltype(parse(std::declval<Json>()))>
    {
        if (!isSuccessful(result))
            return std::nullopt;
        try {
            return parse(Json::parse(result.body));
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

    CommitResult parseCommit(const HttpResult& result)
    {
        if (result.state == HttpResult::State::NotSent)
            return { CommitStatus::Unavailable, {} };
        // With status 503 the platform states that it did not apply the writes.
        if (result.state == HttpResult::State::Answered && result.status == 503)
            return { CommitStatus::Unavailable, {} };
        const auto answer = parseAnswer(result, [](const Json& json) {
            CommitResult commit { CommitStatus::Unknown, {} };
            if (json.at("status") == "committed")
                commit.status = CommitStatus::Committed;
            else if (json.at("status") == "conflict")
                commit = { CommitStatus::Conflict, parseRows(json.at("conflicts")) };
            return commit;
        });
        return answer.value_or(CommitResult { CommitStatus::Unknown, {} });
    }

    std::string commitBody(const std::vector<RowWrite>& writes)
    {
        auto list = Json::array();
        for (const auto& write : writes) {
            Json json { { "key", write.key }, { "value", nullptr }, { "expected", write.expectedVersion } };
            if (write.value)
                json["value"] = *write.value;
            list.push_back(std::move(json));
        }
        return Json { { "writes", std::move(list) } }.dump();
    }

} // namespace

struct PlatformClient::Worker {
    Worker(const Endpoint& address, Post postHandler)
        : client(address.host, address.port)
        , post(std::move(postHandler))
        , thread([this] { this->run(); })
    {
    }

    ~Worker()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isStopping = true;
        }
        this->wake.notify_one();
        this->thread.join();
    }

    void enqueue(Call call)
    {
        call.deadline = std::chrono::steady_clock::now() + callTimeout;
        {
            const std::lock_guard lock(this->mutex);
            this->calls.push_back(std::move(call));
        }
        this->wake.notify_one();
    }

    void run()
    {
        for (;;) {
            std::unique_lock lock(this->mutex);
            this->wake.wait(lock, [this] { return this->isStopping || !this->calls.empty(); });
            if (this->isStopping)
                return;
            auto call = std::move(this->calls.front());
            this->calls.pop_front();
            lock.unlock();
            const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
                call.deadline - std::chrono::steady_clock::now());
            // A call whose deadline has passed in the queue is not sent: its result would come too late, and the calls
            // behind it would wait longer.
            HttpResult result;
            if (timeLeft.count() > 0)
                result = this->client.call(call.method, call.path, call.body, timeLeft, call.isRepeatable);
            this->post([handler = std::move(call.handler), result = std::move(result)] { handler(result); });
        }
    }

    detail::HttpClient client;
    Post post;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<Call> calls;
    bool isStopping = false;
    // Declared last, because the thread uses all other members as soon as it starts.
    std::thread thread;
};

PlatformClient::PlatformClient(Endpoint address, Post post)
    : worker(std::make_shared<Worker>(address, std::move(post)))
{
}

PlatformClient::~PlatformClient() = default;

Platform PlatformClient::platform()
{
    auto* const queue = this->worker.get();
    const auto rowsCall = [queue](std::string path, std::string body, RowsHandler handler) {
        queue->enqueue({ "POST", std::move(path), std::move(body), true,
            [handler = std::move(handler)](const HttpResult& result) {
                handler(parseAnswer(result, [](const Json& json) { return parseRows(json.at("rows")); }));
            },
            {} });
    };
    const auto commandCall
        = [queue](std::string method, std::string path, std::string body, std::function<void(bool)> handler) {
              queue->enqueue({ std::move(method), std::move(path), std::move(body), true,
                  [handler = std::move(handler)](const HttpResult& result) { handler(isSuccessful(result)); }, {} });
          };
    Platform hooks;
    hooks.table.read = [rowsCall](std::vector<std::string> keys, RowsHandler handler) {
        rowsCall("/table/read", Json { { "keys", keys } }.dump(), std::move(handler));
    };
    hooks.table.scan = [rowsCall](std::string prefix, RowsHandler handler) {
        rowsCall("/table/scan", Json { { "prefix", prefix } }.dump(), std::move(handler));
    };
    hooks.table.commit = [queue](std::vector<RowWrite> writes, CommitHandler handler) {
        queue->enqueue({ "POST", "/table/commit", commitBody(writes), false,
            [handler = std::move(handler)](const HttpResult& result) { handler(parseCommit(result)); }, {} });
    };
    hooks.objects.put = [commandCall](std::string name, std::string content, std::function<void(bool)> handler) {
        commandCall("PUT", "/objects/" + name, std::move(content), std::move(handler));
    };
    hooks.objects.get = [queue](std::string name, std::function<void(std::optional<std::string>)> handler) {
        queue->enqueue({ "GET", "/objects/" + name, "", true,
            [handler = std::move(handler)](const HttpResult& result) {
                handler(isSuccessful(result) ? std::optional(result.body) : std::nullopt);
            },
            {} });
    };
    hooks.vms.list = [queue](std::function<void(std::optional<std::vector<VmStatus>>)> handler) {
        queue->enqueue({ "GET", "/vms", "", true,
            [handler = std::move(handler)](const HttpResult& result) {
                handler(parseAnswer(result, [](const Json& json) {
                    std::vector<VmStatus> vms;
                    for (const auto& vm : json.at("vms")) {
                        vms.push_back(
                            { vm.at("name").get<std::string>(), parseVmState(vm.at("state").get<std::string>()),
                                vm.at("incarnation").get<std::uint64_t>() });
                    }
                    return vms;
                }));
            },
            {} });
    };
    hooks.control.checkpoint = [commandCall](std::string vm, std::function<void(bool)> handler) {
        commandCall("POST", "/vms/" + vm + "/checkpoint", "{}", std::move(handler));
    };
    hooks.control.reboot = [commandCall](std::string vm, std::uint64_t incarnation, std::function<void(bool)> handler) {
        commandCall(
            "POST", "/vms/" + vm + "/reboot", Json { { "incarnation", incarnation } }.dump(), std::move(handler));
    };
    return hooks;
}

} // namespace waxwinglug::io
