// HTTP messages without library types, passed between traffic threads and the control thread.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwinglug::io {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

// Returns the value of the first header with this name, compared case-insensitively; empty when there is none.
std::string_view findHeader(const HttpHeaders& headers, std::string_view name);

// True for headers that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1), and for those
// that the forwarding side sets itself.
bool isHopByHop(std::string_view name);

} // namespace waxwinglug::io
