// Main program of the entry daemon, which runs on each entry VM.
#include "io/process/entry-daemon.h"
#include "io/process/program.h"

int main(int argc, char** argv)
{
    using namespace waxwinglug;
    const io::Program program { "waxwing-entry", "Serves callers on one entry VM until SIGTERM.", entrySettingTable(),
        [](std::string_view text, std::string_view file, bool checkOnly) {
            const auto settings = parseEntrySettings(text, file);
            if (!checkOnly)
                io::EntryDaemon(settings).run();
        } };
    return io::runProgram(program, argc, argv);
}
