// The keys of each section of a document: format, range and the member that receives the value.
#pragma once

#include <waxwinglug/config.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::detail {

template <typename T> struct KeyRule {
    std::string_view key;
    // Description of valid values, used as the remedy in error messages.
    std::string format;
    // Parses and stores the value. Returns false when it has another format or is out of range.
    std::function<bool(T&, const std::string&)> set;
    bool required = false;
    bool repeatable = false;
};

template <typename T> using KeyRules = std::vector<KeyRule<T>>;

// Names become parts of row keys, URLs and messages: 1 to 64 letters, digits, '.', '_' and '-'.
bool isValidName(std::string_view name);

const KeyRules<Config>& documentRules();
const KeyRules<Service>& serviceRules();
const KeyRules<Pool>& poolRules();
const KeyRules<Vm>& vmRules();
const KeyRules<Team>& teamRules();
const KeyRules<Wave>& waveRules();
const KeyRules<Window>& windowRules();
const KeyRules<ClockRules>& clockRules();
const KeyRules<Weights>& weightsRules();

} // namespace waxwinglug::detail
