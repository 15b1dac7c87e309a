// Tests of the parser, the validation and the comparison of documents.
#include <waxwinglug/config.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    const std::string hash(64, 'a');

    // A minimal valid document. Tests refer to its line numbers.
    std::string smallDocument()
    {
        return "[document]\nname = small\n[service quoting]\nclass = interactive\n[pool quoting]\nservice = quoting\n"
               "min-available = 50%\n[vm q01]\npool = quoting\ndata-centre = dc1\nrack = r1\naddress = 127.0.0.1:9001\n"
               "[vm q02]\npool = quoting\ndata-centre = dc1\nrack = r2\naddress = 127.0.0.1:9002\n[team north]\n"
               "share = 30\nlimit = 40\nservices = quoting\nkey = a:"
            + hash + "\n[window night]\nstart = 22:00\nend = 05:30\n[wave weekly]\npools = quoting\nwindow = night\n";
    }

    std::vector<Problem> findProblems(const std::string& text)
    {
        try {
            parseConfig(text, "f.ini");
        } catch (const ConfigError& error) {
            return error.problems();
        }
        return {};
    }

    std::string replaced(std::string text, const std::string& from, const std::string& to)
    {
        const auto at = text.find(from);
        EXPECT_NE(at, std::string::npos) << from;
        return text.replace(at, from.size(), to);
    }

    std::string readFile(const std::string& path)
    {
        const std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    TEST(Config, everyKeyIsRead)
    {
        const auto config = parseConfig(smallDocument()
                + "[service batch]\nclass = background\nopen = yes\ndeadline = 8h\nlongest-run = 5m\nbody-limit = "
                  "2MiB\n"
                  "queue-limit = 7\nclaims-when-down = home-only\n[pool rest]\nservice = batch\nmax-racks-down = 2\n"
                  "min-vms = 3\nspare = yes\n[vm b01]\npool = rest\ndata-centre = dc2\nrack = r9\n"
                  "address = 127.0.0.1:9003\nslots = 4\nconnections = 16\naccelerators = 2\n"
                  "[wave hot]\npools = quoting\nwindow = night\npause-after-failures = 5\nfailure-window = 2m\n"
                  "[clock]\noffset = +02:00\nchange = 2027-10-31T01:00Z +02:00\nchange = 2027-03-28T01:00Z +03:00\n"
                  "[weights]\nbuffer-cost = 4\nroll-out-time = 2\nmoves = 3\nshare-error = 0.5\n",
            "f.ini");
        EXPECT_EQ(config.name, "small");
        const auto& batch = config.services.at("batch");
        EXPECT_EQ(batch.workClass, WorkClass::Background);
        EXPECT_TRUE(batch.allowsAnonymous);
        EXPECT_EQ(batch.deadline, 8h);
        EXPECT_EQ(batch.maxRunTime, 5min);
        EXPECT_EQ(batch.bodyLimitBytes, 2U * 1024 * 1024);
        EXPECT_EQ(batch.queueLimit, 7);
        EXPECT_EQ(batch.claimsWhenDown, ClaimsWhenDown::HomeOnly);
        EXPECT_EQ(config.pools.at("quoting").minAvailable, 0.5);
        EXPECT_TRUE(config.pools.at("rest").isSpare);
        EXPECT_EQ(config.pools.at("rest").maxRacksDown, 2);
        EXPECT_EQ(config.pools.at("rest").minVms, 3);
        EXPECT_EQ(config.vms.at("b01"), (Vm { "b01", "rest", "dc2", "r9", Endpoint { "127.0.0.1", 9003 }, 4, 16, 2 }));
        EXPECT_EQ(config.teams.at("north"), (Team { "north", 30, 40, { "quoting" }, { { "a", hash } } }));
        EXPECT_EQ(config.windows.at("night").start, 22h);
        EXPECT_EQ(config.windows.at("night").end, 5h + 30min);
        EXPECT_EQ(config.waves.at("hot"), (Wave { "hot", { "quoting" }, "night", 5, 2min }));
        ASSERT_EQ(config.clock.changes.size(), 2U);
        EXPECT_EQ(config.clock.changes[0].offset, 3h);
        EXPECT_EQ(config.clock.changes[1].at,
            std::chrono::sys_days(std::chrono::year(2027) / 10 / 31) + std::chrono::hours(1));
        EXPECT_EQ(config.weights, (Weights { 4, 2, 3, 0.5 }));
    }

    // Guards against reporting only the first of several mistakes.
    TEST(Config, allProblemsAreReportedWithTheirLines)
    {
        auto text = replaced(smallDocument(), "limit = 40", "limit = many");
        text = replaced(text, "window = night", "window = day");
        text = replaced(text, "rack = r2", "shelf = r2");
        const auto problems = findProblems(text);
        ASSERT_EQ(problems.size(), 4U);
        const auto has = [&problems](int line, const std::string& value) {
            return std::any_of(problems.begin(), problems.end(), [&](const Problem& problem) {
                return problem.line == line && problem.value == value && problem.file == "f.ini"
                    && !problem.remedy.empty();
            });
        };
        EXPECT_TRUE(has(16, "shelf")); // unknown key
        EXPECT_TRUE(has(13, "vm q02")); // rack is missing
        EXPECT_TRUE(has(20, "many"));
        EXPECT_TRUE(has(28, "day"));
    }

    struct InvalidDocument {
        std::string from;
        std::string to;
        std::string text;
    };

    // Guards against mistakes that pass validation and fail only once the configuration is active.
    TEST(Config, eachMistakeIsFound)
    {
        const std::vector<InvalidDocument> cases {
            { "[document]\nname = small\n", "", "section [document] is missing" },
            { "[vm q02]\npool = quoting", "[vm q01]\npool = other", "VM is in two pools, quoting and other" },
            { "[vm q02]", "[vm q01]", "section occurs twice" },
            { "pool = quoting\ndata", "pool = quoting, other\ndata", "VM is in two pools" },
            { "127.0.0.1:9002", "127.0.0.1:9001", "VM q01 has the same address" },
            { "min-available = 50%", "min-available = 60%", "wave weekly can take none of the 2 VMs out of service" },
            { "min-available = 50%", "max-racks-down = 0", "wave weekly can take no rack out of service" },
            { "min-available = 50%", "min-available = 120%", "wrong value of min-available" },
            { "services = quoting", "services = tailoring", "unknown service" },
            { "service = quoting", "service = tailoring", "unknown service" },
            { "pools = quoting", "pools = tailoring", "unknown pool" },
            { "[team north]", "[team south]\nshare = 71\nservices = quoting\n[team north]",
                "the shares of all teams add up to more than 100" },
            { "share = 30", "share = 30\nshare = 20", "key occurs twice" },
            { "[window night]", "[windows night]", "unknown section" },
            { "[window night]", "[window late night]", "section without a valid name" },
            { "start = 22:00", "start = 25:00", "wrong value of start" },
            { "key = a:", "key = a:b", "wrong value of key" },
            { "[window night]", "key = b:" + hash + "\n[window night]", "same key as in team north" },
            { "class = interactive", "class = urgent", "wrong value of class" },
            { "[document]", "[clock]\noffset = +15:00\n[document]", "wrong value of offset" },
            { "[document]", "[clock]\noffset = +01:00\nchange = 2027-02-30T01:00Z +02:00\n[document]",
                "wrong value of change" },
            { "[document]", "stray = 1\n[document]", "key outside a section" },
        };
        for (const auto& [from, to, text] : cases) {
            const auto problems = findProblems(replaced(smallDocument(), from, to));
            EXPECT_TRUE(std::any_of(problems.begin(), problems.end(),
                [&text = text](const Problem& problem) { return problem.description == text; }))
                << to << ": " << text;
        }
    }

    // Guards against example documents that the parser no longer accepts.
    TEST(Config, exampleDocumentsAreValidAndComplete)
    {
        for (const std::string name : { "copper-eaves", "velokrekls" }) {
            const auto file = WAXWINGLUG_SOURCE_DIR "/examples/" + name + ".ini";
            const auto config = parseConfig(readFile(file), file);
            EXPECT_EQ(config.name, name);
            EXPECT_EQ(config.services.size(), 5U);
            EXPECT_EQ(config.vms.size(), 50U);
            EXPECT_EQ(config.teams.size(), 6U);
            EXPECT_FALSE(config.clock.changes.empty());
            const auto spares = std::count_if(
                config.pools.begin(), config.pools.end(), [](const auto& each) { return each.second.isSpare; });
            EXPECT_EQ(spares, 1);
        }
    }

    TEST(Config, differencesNameSectionAndKey)
    {
        using Kind = ConfigChange::Kind;
        const auto before = smallDocument();
        auto after = replaced(before, "limit = 40", "limit = 50");
        after
            = replaced(after, "[window night]", "# a second key\nkey = b:" + std::string(64, 'b') + "\n[window night]");
        const std::vector<ConfigChange> expected {
            { Kind::Added, "team north", "key", "", "b:" + std::string(64, 'b') },
            { Kind::Changed, "team north", "limit", "40", "50" },
        };
        EXPECT_EQ(diffConfig(before, after), expected);
        EXPECT_TRUE(diffConfig(before, "# comment\n" + before).empty());
        EXPECT_THROW(applyChanges(after, expected), Error);
    }

    // Generates documents of a few sections and keys. They need not be valid, because comparison ignores the meaning.
    rc::Gen<std::string> documentText()
    {
        const auto word = rc::gen::element<std::string>("a", "b", "c", "d");
        const auto entry = rc::gen::map(rc::gen::pair(word, word),
            [](const std::pair<std::string, std::string>& pair) { return pair.first + " = " + pair.second + "\n"; });
        const auto section = rc::gen::map(
            rc::gen::pair(word, rc::gen::container<std::vector<std::string>>(entry)), [](const auto& pair) {
                std::string text = "[" + pair.first + "]\n";
                for (const auto& line : pair.second)
                    text += line;
                return text;
            });
        return rc::gen::map(rc::gen::container<std::vector<std::string>>(section), [](const auto& sections) {
            std::string text;
            for (const auto& each : sections)
                text += each;
            return text;
        });
    }

    // Guards against a delta that does not reproduce the proposed document.
    RC_GTEST_PROP(Config, deltaReproducesTheProposedDocument, ())
    {
        const auto before = *documentText();
        const auto after = *documentText();
        const auto changes = diffConfig(before, after);
        RC_ASSERT(applyChanges(before, changes) == canonicalConfig(after));
        RC_ASSERT(changes.empty() == (canonicalConfig(before) == canonicalConfig(after)));
    }

    // Guards against a crash or an untyped exception on a damaged document.
    RC_GTEST_PROP(Config, damagedDocumentIsParsedOrReported, ())
    {
        auto text = smallDocument();
        // At most three edits, so that many of the documents remain valid.
        const auto edit = rc::gen::pair(
            rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::element('[', ']', '=', '\n', ':', '9', '-', 'a'));
        const auto count = *rc::gen::inRange<std::size_t>(0, 4);
        const auto edits = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(count, edit);
        for (const auto& [position, character] : edits)
            text[position] = character;
        try {
            const auto config = parseConfig(text, "f.ini");
            // The canonical text has the same meaning.
            RC_ASSERT(parseConfig(canonicalConfig(text), "f.ini") == config);
        } catch (const ConfigError& error) {
            RC_ASSERT(!error.problems().empty());
            for (const auto& problem : error.problems()) {
                RC_ASSERT(problem.line >= 1);
                RC_ASSERT(!problem.remedy.empty());
            }
        }
    }

} // namespace
} // namespace waxwinglug
