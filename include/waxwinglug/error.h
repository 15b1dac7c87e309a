// Error type of the library: the kind determines the exit code, and the message includes a remedy.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace waxwinglug {

enum class ErrorKind {
    Usage, // wrong command line
    Invalid, // invalid content of settings, a document or a message
    Unavailable, // the platform or a peer does not answer
    Conflict, // another operator or process has made a conflicting change
    Refused, // forbidden by a rule
};

// Returns the exit code of a program that fails with an error of this kind.
constexpr int exitCode(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Usage:
        return 2;
    case ErrorKind::Invalid:
        return 3;
    case ErrorKind::Unavailable:
        return 4;
    case ErrorKind::Conflict:
        return 5;
    case ErrorKind::Refused:
        return 6;
    }
    return 1;
}

// The message has the form "problem; remedy".
class Error : public std::runtime_error {
public:
    Error(ErrorKind kind, std::string_view problem, std::string_view remedy)
        : std::runtime_error(std::string(problem).append("; ").append(remedy))
        , errorKind(kind)
        , remedyText(remedy)
    {
    }

    ErrorKind kind() const { return this->errorKind; }
    const std::string& remedy() const { return this->remedyText; }

private:
    ErrorKind errorKind;
    std::string remedyText;
};

} // namespace waxwinglug
