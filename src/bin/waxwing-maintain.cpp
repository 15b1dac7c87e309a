// The program of maintenance waves and pool moves; runs on every entry VM, one instance is active.
#include "io/process/log.h"
#include "io/process/maintain-daemon.h"

#include <waxwinglug/error.h>

#include <fmt/format.h>
#include <sodium.h>

#include <getopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace waxwinglug {
namespace {

    constexpr std::string_view usage = "Usage: waxwing-maintain [--check] SETTINGS\n"
                                       "\n"
                                       "Runs maintenance waves while it holds the lease, until SIGTERM.\n"
                                       "\n"
                                       "  --check  check the settings and exit\n"
                                       "  --help   print this text and all settings\n"
                                       "\n"
                                       "Exit codes: 0 ok, 2 usage, 3 invalid settings, 4 unavailable address.\n";

    struct Options {
        bool check = false;
        bool help = false;
        std::string file;
    };

    Options parseOptions(int argc, char** argv)
    {
        static const option names[]
            = { { "check", no_argument, nullptr, 'c' }, { "help", no_argument, nullptr, 'h' }, {} };
        Options options;
        for (int choice = 0; (choice = getopt_long(argc, argv, "h", names, nullptr)) != -1;) {
            if (choice != 'c' && choice != 'h')
                throw Error(ErrorKind::Usage, "unknown option", "see --help");
            (choice == 'c' ? options.check : options.help) = true;
        }
        if (options.help)
            return options;
        if (optind + 1 != argc)
            throw Error(ErrorKind::Usage, "one settings file is required", "see --help");
        options.file = argv[optind];
        return options;
    }

    std::string readFile(const std::string& name)
    {
        std::ifstream file(name);
        std::ostringstream content;
        content << file.rdbuf();
        if (!file)
            throw Error(ErrorKind::Invalid, fmt::format("cannot read {}", name), "name a readable settings file");
        return std::move(content).str();
    }

    int runMaintain(int argc, char** argv)
    {
        const auto options = parseOptions(argc, argv);
        if (options.help) {
            fmt::print("{}\nSettings:\n{}", usage, describeSettings(maintainSettingTable()));
            return 0;
        }
        const auto settings = parseMaintainSettings(readFile(options.file), options.file);
        if (options.check) {
            fmt::print("{}: ok\n", options.file);
            return 0;
        }
        startLogging(std::clog);
        {
            io::MaintainDaemon daemon(settings);
            daemon.run();
        }
        stopLogging();
        return 0;
    }

} // namespace
} // namespace waxwinglug

int main(int argc, char** argv)
{
    try {
        if (sodium_init() < 0)
            throw waxwinglug::Error(waxwinglug::ErrorKind::Unavailable, "libsodium does not start", "reinstall it");
        return waxwinglug::runMaintain(argc, argv);
    } catch (const waxwinglug::Error& error) {
        fmt::print(stderr, "waxwing-maintain: {}\n", error.what());
        return waxwinglug::exitCode(error.kind());
    } catch (const std::exception& error) {
        fmt::print(stderr, "waxwing-maintain: {}\n", error.what());
        return 1;
    }
}
