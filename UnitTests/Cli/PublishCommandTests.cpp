#include "Lagoonward/Cli/CheckCommand.h"
#include "Lagoonward/Cli/PublishCommand.h"
#include "UnitTests/Support/FakeHttpServer.h"
#include "UnitTests/Support/FakeLogService.h"
#include "UnitTests/Support/SampleManifest.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// A file that is deleted by the destructor.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
  {
    std::string pattern = "manifest-XXXXXX";
    const int descriptor = mkstemp(pattern.data());
    BOOST_TEST_REQUIRE(descriptor >= 0);
    BOOST_TEST(write(descriptor, aText.data(), aText.size()) == static_cast<ssize_t>(aText.size()));
    close(descriptor);
    this->path = pattern;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::remove(this->path.c_str()); }

  std::string path;
};

/// Serves a request to the log over HTTP from a FakeLogService.
FakeAnswer
ServeLog(FakeLogService& aLog, const FakeRequest& aRequest)
{
  const std::string stream = aRequest.path.substr(std::string("/streams/").size());
  if (aRequest.method == "POST") {
    const auto offset = aLog.Append(stream, aRequest.body);
    return { 200, nlohmann::json{ { "offset", offset.value().offset } }.dump(), {} };
  }
  const auto page = aLog.Read(stream, std::stoll(aRequest.query.at("from")),
                              std::stoi(aRequest.query.at("limit")), Milliseconds(0));
  nlohmann::json body{ { "start", page.value().start }, { "end", page.value().end } };
  body["records"] = nlohmann::json::array();
  for (const auto& record : page.value().records) {
    body["records"].push_back({ { "offset", record.offset }, { "data", record.data } });
  }
  return { 200, body.dump(), {} };
}

/// The output and the exit status of a command.
struct CommandResult
{
  int status = 0;
  std::string out;
  std::string err;
};

template<typename Command>
CommandResult
RunCommand(Command aCommand, const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  const int status = aCommand(aArguments, out, err);
  return { status, out.str(), err.str() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PublishCommandTests)

BOOST_AUTO_TEST_CASE(CheckPrintsEachFault)
{
  auto manifest = SampleManifestJson();
  const TemporaryFile good(manifest.dump());
  BOOST_TEST(RunCommand(RunCheck, { good.path }).status == 0);
  manifest["models"][0]["version"] = 3;
  manifest.erase("classes");
  const TemporaryFile bad(manifest.dump());
  const auto run = RunCommand(RunCheck, { bad.path });
  BOOST_TEST(run.status == 1);
  BOOST_TEST(run.err ==
             bad.path + ": /models/0/version: not a string\n" + bad.path + ": /classes: missing\n");
  BOOST_TEST(RunCommand(RunCheck, { "no-such-file" }).status == 1);
  BOOST_TEST(RunCommand(RunCheck, {}).status == 2);
  BOOST_TEST(RunCommand(RunCheck, { "--help" }).status == 0);
}

BOOST_AUTO_TEST_CASE(PublishPrintsWhichRecordIsInForce)
{
  FakeLogService log;
  FakeHttpServer server([&log](const FakeRequest& aRequest) { return ServeLog(log, aRequest); });
  const TemporaryFile file(SampleManifestJson().dump());
  const auto won = RunCommand(RunPublish, { file.path, "--log-url", server.Url() });
  BOOST_TEST(won.status == 0);
  BOOST_TEST(won.out == "won: offset 0 came into force in market vestland\n");

  // The variable replaces the flag
  setenv("LAGOONWARD_LOG_URL", server.Url().c_str(), 1);
  const auto lost = RunCommand(RunPublish, { file.path, "--base", "-1" });
  unsetenv("LAGOONWARD_LOG_URL");
  BOOST_TEST(lost.status == 1);
  BOOST_TEST(lost.out.find("lost: offset 0 by publish-") == 0U);
}

BOOST_AUTO_TEST_CASE(AllUsageFaultsAreReportedTogether)
{
  const auto run = RunCommand(RunPublish, { "--bogus", "--base=-7" });
  BOOST_TEST(run.status == 2);
  BOOST_TEST(run.err.find("unknown option --bogus\n") != std::string::npos);
  BOOST_TEST(run.err.find("file is missing\n") != std::string::npos);
  BOOST_TEST(run.err.find("log-url is missing\n") != std::string::npos);
  BOOST_TEST(run.err.find("--base is below -1\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
