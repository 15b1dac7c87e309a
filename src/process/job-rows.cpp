// JSON encoding of the rows of background jobs.
#include "process/job-rows.h"

#include <waxwinglug/json.h>

#include <sodium.h>

namespace waxwinglug::detail {
namespace {

    // Payloads and results are arbitrary bytes, whereas JSON strings must be UTF-8.
    std::string encodeBytes(std::string_view bytes)
    {
        std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
        sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
            sodium_base64_VARIANT_ORIGINAL);
        text.pop_back(); // the terminating zero
        return text;
    }

    std::string decodeBytes(const std::string& text)
    {
        std::string bytes(text.size(), '\0');
        std::size_t length = 0;
        if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(), text.size(),
                nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL)
            != 0)
            throw Error(ErrorKind::Invalid, "a job row contains a value that is not valid base64", "restore the row");
        bytes.resize(length);
        return bytes;
    }

} // namespace

std::string encodeBatch(const BatchRow& row)
{
    Json jobs = Json::array();
    for (const auto& job : row.jobs) {
        jobs.push_back({ { "id", job.id }, { "team", job.team }, { "idempotent", job.idempotent },
            { "payload", encodeBytes(job.payload) }, { "state", static_cast<int>(job.state) },
            { "result", encodeBytes(job.result) }, { "reason", encodeBytes(job.reason) }, { "attempts", job.attempts },
            { "failedOn", job.failedOn }, { "endedAt", job.endedAt.time_since_epoch().count() } });
    }
    const Json json { { "owner", row.owner.name }, { "incarnation", row.owner.incarnation }, { "nonce", row.nonce },
        { "jobs", std::move(jobs) } };
    return json.dump();
}

std::optional<BatchRow> decodeBatch(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        BatchRow row { { json.at("owner").get<std::string>(), json.at("incarnation").get<std::uint64_t>() },
            json.at("nonce").get<std::string>(), {} };
        for (const auto& item : json.at("jobs")) {
            Job job;
            job.id = item.at("id").get<std::string>();
            job.team = item.at("team").get<std::string>();
            job.idempotent = item.at("idempotent").get<bool>();
            job.payload = decodeBytes(item.at("payload").get<std::string>());
            job.state = static_cast<JobState>(item.at("state").get<int>());
            job.result = decodeBytes(item.at("result").get<std::string>());
            job.reason = decodeBytes(item.at("reason").get<std::string>());
            job.attempts = item.at("attempts").get<int>();
            job.failedOn = item.at("failedOn").get<std::set<std::string>>();
            job.endedAt = WallTime(Duration(item.at("endedAt").get<Duration::rep>()));
            row.jobs.push_back(std::move(job));
        }
        return row;
    } catch (const Json::exception&) {
        return std::nullopt;
    } catch (const Error&) {
        return std::nullopt;
    }
}

} // namespace waxwinglug::detail
