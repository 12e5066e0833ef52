#include "Lagoonward/Settings/RelaySettingsReader.h"
#include "Lagoonward/Settings/SettingsReader.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>

using namespace lagoonward;

namespace {

/// A settings file that is deleted by the destructor.
class SettingsFile
{
public:
  explicit SettingsFile(const std::string& aText)
    : path(std::tmpnam(nullptr))
  {
    std::ofstream(this->path) << aText;
  }

  ~SettingsFile() { std::remove(this->path.c_str()); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  const std::string path;
};

constexpr const char* kCompleteSettings = "# a comment\n"
                                          "name = host-1\n"
                                          "listen = 10.0.0.1:80\n"
                                          "ready = 10.0.0.1:81\n"
                                          "peer = 10.0.0.1:82\n"
                                          "region = r\n"
                                          "failure-domain = a\n"
                                          "failure-domains = a,b\n"
                                          "seeds = 10.0.0.2:82, 10.0.0.3:82\n"
                                          "store-url = http://10.0.0.9:90/\n"
                                          "retry-ratio = 0.25\n";

RelaySettingsOutcome
Read(std::vector<std::string> aArguments, std::vector<std::string> aEnvironment = {})
{
  return RelaySettingsReader::Read(aArguments, aEnvironment);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelaySettingsReaderTests)

BOOST_AUTO_TEST_CASE(ReadsTheFileGivenByFlagOrVariable)
{
  const SettingsFile file(kCompleteSettings);
  for (const auto& outcome :
       { Read({ "--settings", file.path }),
         Read({}, { SettingsReader::VariableName("settings") + "=" + file.path }) }) {
    BOOST_TEST(outcome.faults.empty());
    BOOST_TEST(outcome.settings.name == "host-1");
    BOOST_TEST(outcome.settings.peer.port == 82);
    BOOST_TEST(outcome.settings.seeds.size() == 2U);
    BOOST_TEST(outcome.settings.seeds.at(1).address == "10.0.0.3");
    BOOST_TEST(outcome.settings.failureDomains.size() == 2U);
    BOOST_TEST(outcome.settings.storeUrl == "http://10.0.0.9:90");
    BOOST_TEST(outcome.settings.retryRatio == 0.25);
    BOOST_TEST(outcome.file == file.path);
  }
}

BOOST_AUTO_TEST_CASE(FlagsOverrideVariablesAndVariablesOverrideTheFile)
{
  const SettingsFile file(kCompleteSettings);
  const auto outcome =
    Read({ "--settings", file.path, "--name", "flag" },
         { "LAGOONWARD_NAME=variable", "LAGOONWARD_REGION=variable", "OTHER=1" });
  BOOST_TEST(outcome.faults.empty());
  BOOST_TEST(outcome.settings.name == "flag");
  BOOST_TEST(outcome.settings.region == "variable");
}

BOOST_AUTO_TEST_CASE(ReadsWhichRequestsAreQueued)
{
  const SettingsFile file(kCompleteSettings);
  BOOST_TEST((Read({ "--settings", file.path }).settings.requestQueueing == RequestQueueing::Off));
  for (const auto& [text, queueing] :
       { std::pair("off", RequestQueueing::Off), std::pair("calls", RequestQueueing::Calls),
         std::pair("all", RequestQueueing::All) }) {
    const auto outcome = Read({ "--settings", file.path, "--request-queue", text });
    BOOST_TEST(outcome.faults.empty());
    BOOST_TEST((outcome.settings.requestQueueing == queueing));
  }
}

/// Guards against a misspelt value that leaves the queues off without a word.
BOOST_AUTO_TEST_CASE(UnknownValueOfRequestQueueIsAFaultThatNamesTheValidOnes)
{
  const SettingsFile file(kCompleteSettings);
  for (const std::string text : { "on", "Calls", "calls,all" }) {
    const auto outcome = Read({ "--settings", file.path, "--request-queue=" + text });
    BOOST_TEST_REQUIRE(outcome.faults.size() == 1U);
    BOOST_TEST(outcome.faults.front() ==
               "request-queue: \"" + text + "\" is none of off, calls and all");
  }
  BOOST_TEST(Read({ "--settings", file.path, "--request-queue=" }).faults.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ReportsAllFaultsTogether)
{
  const auto outcome = Read(
    { "--listen", "nonsense", "--store-url", "ftp://x", "--grace-ms", "0", "--log-level", "loud" });
  // Six required settings are missing in addition to the four invalid ones
  BOOST_TEST(outcome.faults.size() == 10U);
}

BOOST_AUTO_TEST_CASE(RejectsUnknownSettingsAndUnreadableFiles)
{
  const SettingsFile file(std::string(kCompleteSettings) + "no-such-setting = 1\n");
  BOOST_TEST(Read({ "--settings", file.path }).faults.size() == 1U);
  BOOST_TEST(Read({ "--no-such-flag", "1" }).faults.size() == 1U);
  BOOST_TEST(Read({ "--settings", "/no/such/file" }).faults.size() == 1U);
  BOOST_TEST(Read({ "--help" }).helpRequested);
}

/// Guards against a division of endpoints into pools without slots, which never ends.
BOOST_AUTO_TEST_CASE(SlotsOfAQueueAreWithinBounds)
{
  const SettingsFile file(kCompleteSettings);
  BOOST_TEST(Read({ "--settings", file.path }).settings.queuePoolSlots == 16);
  BOOST_TEST(Read({ "--settings", file.path, "--queue-pool-slots", "6" }).settings.queuePoolSlots ==
             6);
  for (const std::string text : { "0", "65537" }) {
    const auto outcome = Read({ "--settings", file.path, "--queue-pool-slots", text });
    BOOST_TEST_REQUIRE(outcome.faults.size() == 1U);
    BOOST_TEST(outcome.faults.front() == "queue-pool-slots: must be from 1 to 65536, got " + text);
  }
}

/// Guards against a daemon that does not start because the platform states no memory limit.
BOOST_AUTO_TEST_CASE(MemoryMayBeUnknown)
{
  const SettingsFile file(kCompleteSettings);
  BOOST_TEST(Read({ "--settings", file.path }).settings.memoryMegabytes == 0);
  const SettingsFile empty(std::string(kCompleteSettings) + "memory-mb =\n");
  const auto unknown = Read({ "--settings", empty.path });
  BOOST_TEST(unknown.faults.empty());
  BOOST_TEST(unknown.settings.memoryMegabytes == 0);
  const SettingsFile known(std::string(kCompleteSettings) + "memory-mb = 260\n");
  BOOST_TEST(Read({ "--settings", known.path }).settings.memoryMegabytes == 260);
  for (const std::string text : { "0", "-1", "some", "260MB", "inf" }) {
    const auto outcome = Read({ "--settings", file.path, "--memory-mb=" + text });
    BOOST_TEST_REQUIRE(outcome.faults.size() == 1U);
    BOOST_TEST(outcome.faults.front() ==
               "memory-mb: must be greater than zero, got \"" + text + "\"");
  }
}

BOOST_AUTO_TEST_CASE(DescriptorsMayBeUnknown)
{
  const SettingsFile empty(std::string(kCompleteSettings) + "max-descriptors =\n");
  const auto unknown = Read({ "--settings", empty.path });
  BOOST_TEST(unknown.faults.empty());
  BOOST_TEST(unknown.settings.maximumDescriptors == 0U);
  BOOST_TEST(
    Read({ "--settings", empty.path, "--max-descriptors=4100" }).settings.maximumDescriptors ==
    4100U);
  for (const std::string text : { "0", "127", "-1", "some", "1e4" }) {
    const auto outcome = Read({ "--settings", empty.path, "--max-descriptors=" + text });
    BOOST_TEST_REQUIRE(outcome.faults.size() == 1U);
    BOOST_TEST(outcome.faults.front() ==
               "max-descriptors: must be a whole number from 128 on, got \"" + text + "\"");
  }
}

BOOST_AUTO_TEST_SUITE_END()
