// Tests of waxwingctl against the stand-in platform.
#include "support/standin-process.h"

#include <waxwinglug/keys.h>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>

namespace waxwinglug {
namespace {

    struct Result {
        int exitCode = -1;
        std::string output; // standard output and standard error
    };

    class Operator {
    public:
        Result run(const std::string& arguments) const
        {
            const auto command = fmt::format("{}/waxwingctl --platform 127.0.0.1:{} {} 2>&1", WAXWINGLUG_BUILD_DIR,
                this->standin.address.port, arguments);
            Result result;
            FILE* const pipe = popen(command.c_str(), "r");
            std::array<char, 4096> buffer {};
            while (const auto size = std::fread(buffer.data(), 1, buffer.size(), pipe))
                result.output.append(buffer.data(), size);
            const int status = pclose(pipe);
            result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            return result;
        }

        test::StandinPlatformProcess standin;
    };

    const std::string example = WAXWINGLUG_SOURCE_DIR "/examples/velokrekls.ini";

    // Guards against losing other parts of the document when a key is added or withdrawn, and against printing a key
    // other than the applied one.
    TEST(Waxwingctl, keysAreAddedAndWithdrawn)
    {
        const Operator tool;
        EXPECT_EQ(tool.run("apply " + example).output, "version 1 in force\n");
        const auto added = tool.run("key add captains k2");
        EXPECT_EQ(added.exitCode, 0);
        const auto key = added.output.substr(0, added.output.find('\n'));
        EXPECT_NE(tool.run("plan " + example).output.find("'k2:" + hashKey(key) + "'"), std::string::npos);
        EXPECT_EQ(tool.run("key withdraw captains k2").output, "version 3 in force\n");
        EXPECT_EQ(tool.run("plan " + example).output, "base version 3\n");
    }

    // Guards against exit codes that differ from the documented ones.
    TEST(Waxwingctl, exitCodesFollowTheKindOfError)
    {
        Operator tool;
        EXPECT_EQ(tool.run("--help").exitCode, 0);
        EXPECT_EQ(tool.run("check " + example).exitCode, 0);
        EXPECT_EQ(tool.run("frobnicate").exitCode, 2);
        EXPECT_EQ(tool.run("--wait soon status").exitCode, 2);
        EXPECT_EQ(tool.run("check " WAXWINGLUG_SOURCE_DIR "/README.md").exitCode, 3);
        EXPECT_EQ(tool.run("apply " + example).exitCode, 0);
        EXPECT_EQ(tool.run("--base 0 apply " + example).exitCode, 5);
        EXPECT_EQ(tool.run("abandon 1").exitCode, 5);
        EXPECT_EQ(tool.standin.stop(), 0);
        EXPECT_EQ(tool.run("status").exitCode, 4);
    }

} // namespace
} // namespace waxwinglug
