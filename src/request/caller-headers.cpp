// Parses the path and the Waxwing headers of a caller's request.
#include <waxwinglug/request.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace waxwinglug {
namespace {

    constexpr std::size_t maxNameLength = 64; // characters of a team or service name
    constexpr std::size_t maxKeyLength = 256; // characters of a key or an Idempotency-Key
    constexpr std::size_t maxRequestIdLength = 160;
    // A longer deadline is most likely given in the wrong unit.
    constexpr std::uint64_t maxDeadlineMs = 24ULL * 60 * 60 * 1000; // milliseconds

    char toLower(char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter; }

    bool equalsIgnoringCase(std::string_view one, std::string_view other)
    {
        return std::equal(one.begin(), one.end(), other.begin(), other.end(),
            [](char a, char b) { return toLower(a) == toLower(b); });
    }

    bool isNameCharacter(char letter)
    {
        return (toLower(letter) >= 'a' && toLower(letter) <= 'z') || (letter >= '0' && letter <= '9') || letter == '-'
            || letter == '_' || letter == '.';
    }

    bool isName(std::string_view text)
    {
        return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    bool isVisible(std::string_view text, std::size_t maxLength)
    {
        return !text.empty() && text.size() <= maxLength
            && std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter < 127; });
    }

    [[noreturn]] void throwBadHeader(std::string_view header, std::string_view expected)
    {
        throw RefusalError(Refusal::BadHeader, fmt::format("{}: expected {}", header, expected));
    }

    void parsePath(std::string_view target, CallerRequest& request)
    {
        constexpr std::string_view prefix = "/q/";
        if (!target.starts_with(prefix))
            throw RefusalError(Refusal::UnknownQueue, "the path does not start with /q/");
        target.remove_prefix(prefix.size());
        const auto end = std::min(target.find_first_of("/?"), target.size());
        if (!isName(target.substr(0, end)))
            throw RefusalError(Refusal::UnknownQueue, "the path names no service");
        request.service = target.substr(0, end);
        request.backendPath = target.substr(end);
        if (!request.backendPath.starts_with('/'))
            request.backendPath.insert(0, "/");
    }

    Duration parseDeadline(std::string_view value)
    {
        std::uint64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        if (error != std::errc {} || end != value.data() + value.size() || milliseconds == 0
            || milliseconds > maxDeadlineMs)
            throwBadHeader("Waxwing-Deadline-Ms", "milliseconds from 1 to 86400000");
        return Duration(milliseconds);
    }

    constexpr std::array<std::string_view, 7> knownHeaders { "Waxwing-Team", "Waxwing-Key", "Waxwing-Deadline-Ms",
        "Waxwing-Idempotent", "Idempotency-Key", "Waxwing-Request-Id", "Waxwing-Forwarded" };

    void applyHeader(std::size_t headerIndex, std::string_view value, CallerRequest& request)
    {
        switch (headerIndex) {
        case 0:
            if (!isName(value))
                throwBadHeader(knownHeaders[headerIndex], "a team name");
            request.team = value;
            break;
        case 1:
            if (!isVisible(value, maxKeyLength))
                throwBadHeader(knownHeaders[headerIndex], "a key without spaces");
            request.key = value;
            break;
        case 2:
            request.deadline = parseDeadline(value);
            break;
        case 3:
            if (value != "yes" && value != "no")
                throwBadHeader(knownHeaders[headerIndex], "yes or no");
            request.idempotent = value == "yes";
            break;
        case 4:
            if (!isVisible(value, maxKeyLength))
                throwBadHeader(knownHeaders[headerIndex], "at most 256 visible characters");
            request.idempotencyKey = value;
            break;
        case 5:
            request.requestId = value.size() <= maxRequestIdLength ? parseRequestId(value) : std::nullopt;
            if (!request.requestId)
                throwBadHeader(knownHeaders[headerIndex], "an id that an entry VM issued");
            break;
        default:
            if (!isVisible(value, maxKeyLength))
                throwBadHeader(knownHeaders[headerIndex], "node, time and hash");
            request.forwarded = value;
            break;
        }
    }

} // namespace

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 5> methods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

CallerRequest parseCallerRequest(std::string_view method, std::string_view target, std::span<const HeaderField> headers)
{
    CallerRequest request;
    parsePath(target, request);
    request.idempotent = isIdempotentMethod(method);
    std::array<bool, knownHeaders.size()> seen {};
    for (const auto& header : headers) {
        const auto found = std::find_if(knownHeaders.begin(), knownHeaders.end(),
            [&header](std::string_view name) { return equalsIgnoringCase(name, header.name); });
        if (found == knownHeaders.end())
            continue;
        const auto headerIndex = static_cast<std::size_t>(found - knownHeaders.begin());
        // Repeated headers are ambiguous: a proxy on the way may use the other value.
        if (seen[headerIndex])
            throwBadHeader(*found, "one value");
        seen[headerIndex] = true;
        applyHeader(headerIndex, header.value, request);
    }
    if (request.team.empty() != request.key.empty())
        throwBadHeader(
            request.team.empty() ? knownHeaders[0] : knownHeaders[1], "a value, because team and key belong together");
    return request;
}

} // namespace waxwinglug
