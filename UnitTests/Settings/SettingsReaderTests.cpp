#include "Lagoonward/Settings/SettingsReader.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// The flags of all required settings.
std::vector<std::string>
RequiredFlags()
{
  return { "--listen",
           "127.0.0.1:1",
           "--admin",
           "127.0.0.1:2",
           "--peer",
           "127.0.0.1:3",
           "--region",
           "vestland",
           "--failure-domain",
           "fana",
           "--log-url",
           "http://127.0.0.1:9/",
           "--cloud-url",
           "http://c",
           "--host-list-url",
           "http://h",
           "--weight-store-url",
           "http://w" };
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsReaderTests)

BOOST_AUTO_TEST_CASE(ReadsFlagsAndDefaults)
{
  const SettingsOutcome outcome = SettingsReader::Read(RequiredFlags(), {});
  BOOST_TEST(outcome.faults.empty());
  BOOST_TEST(outcome.settings.listen.port == 1);
  BOOST_TEST(outcome.settings.logUrl == "http://127.0.0.1:9");
  BOOST_TEST(outcome.settings.hostId == "daemon-127.0.0.1-3");
  BOOST_TEST(outcome.settings.runs.threads == 2U);
}

BOOST_AUTO_TEST_CASE(FlagsOverrideVariables)
{
  auto flags = RequiredFlags();
  flags.insert(flags.end(), { "--caller-threads", "5" });
  const std::vector<std::string> variables{ "LAGOONWARD_CALLER_THREADS=7",
                                            "LAGOONWARD_TRAFFIC_THREADS=3", "HOME=/" };
  const SettingsOutcome outcome = SettingsReader::Read(flags, variables);
  BOOST_TEST(outcome.faults.empty());
  BOOST_TEST(outcome.settings.callerThreads == 5U);
  BOOST_TEST(outcome.settings.runs.threads == 3U);
}

BOOST_AUTO_TEST_CASE(ReportsAllFaultsTogether)
{
  const std::vector<std::string> flags{ "--listen", "127.0.0.1:80",  "--admin",     "127.0.0.1:80",
                                        "--peer",   "nowhere",       "--log-level", "loud",
                                        "--what",   "--max-tokens=0" };
  const std::vector<std::string> variables{ "LAGOONWARD_NO_SUCH=1" };
  const SettingsOutcome outcome = SettingsReader::Read(flags, variables);
  const auto has = [&](std::string_view aPart) {
    return std::any_of(outcome.faults.begin(), outcome.faults.end(),
                       [&](const auto& aFault) { return aFault.find(aPart) != std::string::npos; });
  };
  for (const char* part :
       { "--listen and --admin", "--peer: \"nowhere\"", "--log-level", "--what", "--max-tokens",
         "LAGOONWARD_NO_SUCH", "--region: missing", "--log-url: missing" }) {
    BOOST_TEST(has(part), part);
  }
}

BOOST_AUTO_TEST_CASE(RepeatedFlagIsReportedAsFault)
{
  auto flags = RequiredFlags();
  flags.insert(flags.end(), { "--region", "elsewhere" });
  BOOST_TEST(SettingsReader::Read(flags, {}).faults.size() == 1U);
}

BOOST_AUTO_TEST_CASE(HelpListsEverySetting)
{
  const std::string help = SettingsReader::Help();
  for (const SettingRule& rule : SettingsReader::Rules()) {
    BOOST_TEST(help.find("--" + rule.name + " ") != std::string::npos);
  }
  BOOST_TEST(SettingsReader::Read(std::vector<std::string>{ "--help" }, {}).helpRequested);
}

BOOST_AUTO_TEST_SUITE_END()
