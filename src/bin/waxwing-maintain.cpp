// Main program of the maintenance daemon, which runs maintenance waves and pool moves. It runs on every entry VM; the
// instance with the lease is active.
#include "io/process/maintain-daemon.h"
#include "io/process/program.h"

int main(int argc, char** argv)
{
    using namespace waxwinglug;
    const io::Program program { "waxwing-maintain", "Runs maintenance waves while it holds the lease, until SIGTERM.",
        maintainSettingTable(), [](std::string_view text, std::string_view file, bool checkOnly) {
            const auto settings = parseMaintainSettings(text, file);
            if (!checkOnly)
                io::MaintainDaemon(settings).run();
        } };
    return io::runProgram(program, argc, argv);
}
