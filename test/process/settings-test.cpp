// Tests of the settings parser.
#include <waxwinglug/settings.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    const std::string validEntry = "[node]\nname = e1\ndata-centre = dc1\n"
                                   "[listen]\ncallers = 127.0.0.1:7000\npeers = 127.0.0.1:7001\n"
                                   "[platform]\naddress = 127.0.0.1:7100\n"
                                   "[peers]\nseeds = 127.0.0.1:7011, 127.0.0.1:7021\n"
                                   "secret = 0123456789abcdef0123456789abcdef\n";

    std::vector<Problem> problemsOf(std::string_view text)
    {
        try {
            parseEntrySettings(text, "entry.ini");
        } catch (const SettingsError& error) {
            return error.problems();
        }
        return {};
    }

    // Guards against a default value that its parser rejects, which would leave the member at zero.
    TEST(Settings, defaultsApply)
    {
        const auto settings = parseEntrySettings(validEntry, "entry.ini");
        EXPECT_EQ(settings.name, "e1");
        EXPECT_EQ(settings.seeds.size(), 2U);
        EXPECT_EQ(settings.operators, (Endpoint { "127.0.0.1", 7080 }));
        EXPECT_EQ(settings.headerLimitBytes, 16U * 1024);
        EXPECT_EQ(settings.bodyLimitBytes, 16U * 1024 * 1024);
        EXPECT_EQ(settings.maxConnections, 10000);
        EXPECT_EQ(settings.shutdownGrace, 30s);
        EXPECT_EQ(settings.isolation, Isolation::Serve);
        const auto maintain
            = parseMaintainSettings("[node]\nname=m\ndata-centre=d\n[platform]\naddress=127.0.0.1:1\n", "maintain.ini");
        EXPECT_EQ(maintain.leaseDuration, 15s);
        EXPECT_EQ(maintain.stepInterval, 1s);
        EXPECT_EQ(maintain.confirmTimeout, 5s);
        EXPECT_EQ(maintain.minMoveInterval, 10min);
    }

    // Guards against a parser that stops at the first problem or reports a wrong line.
    TEST(Settings, everyProblemIsReportedWithItsLine)
    {
        const auto problems = problemsOf(validEntry + "[limits]\nbody = 9GiB\nbody = 1MiB\ncolour = red\n[tea]\n");
        ASSERT_EQ(problems.size(), 4U);
        EXPECT_EQ(problems[0].line, 13);
        EXPECT_EQ(problems[0].value, "9GiB");
        EXPECT_EQ(problems[1].line, 14);
        EXPECT_EQ(problems[2].line, 15);
        EXPECT_EQ(problems[3].line, 16);
        for (const auto& problem : problems) {
            EXPECT_EQ(problem.file, "entry.ini");
            EXPECT_FALSE(problem.remedy.empty());
        }
    }

    TEST(Settings, missingSettingsAreReported) { EXPECT_EQ(problemsOf("").size(), 7U); }

    // Guards against a secret that leaks into a log through an error message.
    TEST(Settings, secretIsNotRepeated)
    {
        const auto problems = problemsOf(validEntry + "secret = short\n[peers]\nsecret = other\n");
        ASSERT_FALSE(problems.empty());
        for (const auto& problem : problems)
            EXPECT_EQ(problem.message().find("short"), std::string::npos);
    }

    TEST(Settings, listenersWithOneAddressAreRejected)
    {
        auto text = validEntry;
        text.replace(text.find("7001"), 4, "7000");
        ASSERT_EQ(problemsOf(text).size(), 1U);
    }

    TEST(Settings, stepLongerThanAThirdOfTheLeaseIsRejected)
    {
        EXPECT_THROW(parseMaintainSettings("[node]\nname=m\ndata-centre=d\n[platform]\naddress=127.0.0.1:1\n"
                                           "[lease]\nduration=6s\n[maintain]\nstep=3s\n",
                         "maintain.ini"),
            SettingsError);
    }

    TEST(Settings, helpListsEverySetting)
    {
        const auto table = entrySettingTable();
        const auto help = describeSettings(table);
        for (const auto& info : table)
            EXPECT_NE(help.find(info.key), std::string::npos);
        EXPECT_NE(help.find("default 16KiB"), std::string::npos);
    }

    // Checks that any text is either parsed or rejected with SettingsError, and that each problem has a remedy.
    void checkText(const std::string& text)
    {
        const auto check = [&text](auto parse) {
            try {
                parse(text, "f");
            } catch (const SettingsError& error) {
                RC_ASSERT(error.kind() == ErrorKind::Invalid);
                RC_ASSERT(!error.problems().empty());
                for (const auto& problem : error.problems())
                    RC_ASSERT(!problem.remedy.empty());
            }
        };
        check(parseEntrySettings);
        check(parseMaintainSettings);
    }

    RC_GTEST_PROP(Settings, arbitraryTextIsReadOrRejected, (const std::string& text)) { checkText(text); }

    std::string mutated(std::string text)
    {
        // inRange() prefers small numbers in early cases; at nominal size every line is reached equally often.
        const auto below = [](std::size_t bound) {
            return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, bound));
        };
        // Text that is not UTF-8 is rejected before any value is parsed, so most insertions are ASCII.
        const auto ascii = rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
        const auto edits = 1 + below(3);
        for (std::size_t i = 0; i < edits && !text.empty(); ++i) {
            const auto insertion = *rc::gen::oneOf(ascii, rc::gen::just(text.substr(below(text.size()), 20)),
                rc::gen::element<std::string>("", "99999999999999999999", "-1", "1e9", "0x10", "1GiB", "[::]:1"));
            const auto at = below(text.size());
            const auto value = text.find('=', at);
            // Replaces mostly a whole value, sometimes an arbitrary part of the text.
            if (value != std::string::npos && below(4) > 0)
                text.replace(value + 1, text.find('\n', value) - value - 1, insertion);
            else
                text.replace(at, std::min(below(12), text.size() - at), insertion);
        }
        return text;
    }

    // Mutations of a valid file reach the value parsers, which arbitrary text almost never does.
    RC_GTEST_PROP(Settings, mutatedFileIsReadOrRejected, ())
    {
        const std::string whole
            = validEntry + "[limits]\nheader = 8KiB\nbody = 1MiB\nconnections = 5\n[shutdown]\ngrace = 5s\n";
        for (int i = 0; i < 10; ++i)
            checkText(mutated(whole));
    }

} // namespace
} // namespace waxwinglug
