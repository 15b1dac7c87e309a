// Options, settings file and error reporting of the daemons.
#include "io/process/program.h"

#include "io/process/log.h"

#include <waxwinglug/error.h>

#include <fmt/format.h>
#include <sodium.h>

#include <getopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace waxwinglug::io {
namespace {

    constexpr std::string_view usage = "Usage: {} [--check] SETTINGS\n"
                                       "\n"
                                       "{}\n"
                                       "\n"
                                       "  --check  check the settings and exit\n"
                                       "  --help   print this text and all settings\n"
                                       "\n"
                                       "Exit codes: 0 ok, 2 usage, 3 invalid settings, 4 unavailable address.\n"
                                       "\n"
                                       "Settings:\n"
                                       "{}";

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

    void runWithOptions(const Program& program, int argc, char** argv)
    {
        const auto options = parseOptions(argc, argv);
        if (options.help) {
            fmt::print(usage, program.name, program.summary, describeSettings(program.settings));
            return;
        }
        const auto text = readFile(options.file);
        program.run(text, options.file, true);
        if (options.check) {
            fmt::print("{}: ok\n", options.file);
            return;
        }
        startQueuedLogging(std::cout);
        program.run(text, options.file, false);
        stopLogging();
    }

} // namespace

int runProgram(const Program& program, int argc, char** argv)
{
    try {
        if (sodium_init() < 0)
            throw Error(ErrorKind::Unavailable, "libsodium cannot be initialized", "reinstall it");
        runWithOptions(program, argc, argv);
        return 0;
    } catch (const Error& error) {
        fmt::print(stderr, "{}: {}\n", program.name, error.what());
        return exitCode(error.kind());
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}: {}\n", program.name, error.what());
        return 1;
    }
}

} // namespace waxwinglug::io
