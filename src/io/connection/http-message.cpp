// Header lookup and the list of headers that are not forwarded.
#include "io/connection/http-message.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>

namespace waxwinglug::io {

std::string_view findHeader(const HttpHeaders& headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [name](const auto& header) { return boost::iequals(header.first, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> names
        = { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
              "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" };
    return std::any_of(names.begin(), names.end(), [name](auto each) { return boost::iequals(each, name); });
}

} // namespace waxwinglug::io
