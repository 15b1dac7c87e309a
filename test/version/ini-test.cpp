// Tests of the INI reader and of the value parsers.
#include <waxwinglug/ini.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    // Guards against problems reported with a wrong line number.
    TEST(Ini, entriesHaveLineNumbers)
    {
        std::vector<Problem> problems;
        const auto entries = readIni("# note\n[a b]\nx = 1\n\ny=two words \n[c]\n", "f", problems);
        ASSERT_TRUE(problems.empty());
        ASSERT_EQ(entries.size(), 4U);
        EXPECT_EQ(entries[0].section, "a b");
        EXPECT_EQ(entries[1].line, 3);
        EXPECT_EQ(entries[2].value, "two words");
        EXPECT_EQ(entries[2].line, 5);
        EXPECT_EQ(entries[3].section, "c");
    }

    TEST(Ini, syntaxErrorNamesTheLine)
    {
        std::vector<Problem> problems;
        readIni("[a]\nx = 1\n[b\n", "f", problems);
        ASSERT_EQ(problems.size(), 1U);
        EXPECT_EQ(problems[0].line, 3);
    }

    TEST(Ini, valuesOutsideTheirRangeAreRejected)
    {
        EXPECT_EQ(parseDuration("2s"), 2000ms);
        EXPECT_EQ(parseDuration("2 weeks"), std::nullopt);
        EXPECT_EQ(parseDuration("99999999999999d"), std::nullopt);
        EXPECT_EQ(parseSize("1MiB"), 1048576U);
        EXPECT_EQ(parseFraction("80%"), 0.8);
        EXPECT_EQ(parseFraction("nan"), std::nullopt);
        EXPECT_EQ(parseFraction("120%"), std::nullopt);
        EXPECT_EQ(parseEndpoint("127.0.0.1:80"), (Endpoint { "127.0.0.1", 80 }));
        EXPECT_EQ(parseEndpoint("example:80"), std::nullopt);
        EXPECT_EQ(parseList(" a, b,,c "), (std::vector<std::string> { "a", "b", "c" }));
    }

    // Guards against a crash or an untyped exception on arbitrary input.
    RC_GTEST_PROP(Ini, anyTextIsReadOrReported, (const std::string& text))
    {
        std::vector<Problem> problems;
        readIni(text, "f", problems);
        parseDuration(text);
        parseSize(text);
        parseFraction(text);
        parseEndpoint(text);
    }

} // namespace
} // namespace waxwinglug
