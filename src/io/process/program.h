// The command line that the daemons share: one settings file, --check and --help, and exit codes by kind of error.
#pragma once

#include <waxwinglug/settings.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug::io {

struct Program {
    std::string_view name;
    // One sentence for --help.
    std::string_view summary;
    std::vector<SettingInfo> settings;
    // Parses the settings and runs the daemon until SIGTERM; with `checkOnly` it returns after parsing.
    std::function<void(std::string_view text, std::string_view file, bool checkOnly)> run;
};

// Returns the exit code of the process.
int runProgram(const Program& program, int argc, char** argv);

} // namespace waxwinglug::io
