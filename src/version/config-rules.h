// The keys of each section of a document: form, range and where the value goes.
#pragma once

#include <waxwinglug/config.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::detail {

template <typename T> struct KeyRule {
    std::string_view key;
    // What the value must look like; ends the message of a wrong value.
    std::string form;
    // Returns false when the value has another form or is out of range.
    std::function<bool(T&, const std::string&)> set;
    bool required = false;
    bool repeatable = false;
};

template <typename T> using KeyRules = std::vector<KeyRule<T>>;

// Names become parts of row keys, URLs and messages.
bool validName(std::string_view name);

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
