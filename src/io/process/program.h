// Command line of the daemons: one settings file, --check and --help, and an exit code per kind of error.
#pragma once

#include <waxwinglug/settings.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::io {

struct Program {
    std::string_view name;
    // One sentence, printed by --help.
    std::string_view summary;
    std::vector<SettingInfo> settings;
    // Parses the settings and runs the daemon until SIGTERM. With `checkOnly` it returns after parsing.
    std::function<void(std::string_view text, std::string_view file, bool checkOnly)> run;
};

// Runs the program and returns the exit code of the process. Prints errors to standard error.
int runProgram(const Program& program, int argc, char** argv);

} // namespace waxwinglug::io
