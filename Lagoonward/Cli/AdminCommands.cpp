#include "Lagoonward/Cli/AdminCommands.h"

#include "Lagoonward/Cli/CommandOptions.h"
#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Providers/PlatformHttpClient.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace lagoonward {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;

po::options_description
DescribeFlags(const char* aUrlHelp)
{
  po::options_description flags("Options");
  flags.add_options()("admin-url", po::value<std::string>(), aUrlHelp);
  return flags;
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', begin), aText.size());
    if (end > begin) {
      parts.push_back(aText.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

/// Sends a request to the operators' interface of a daemon.
Result<PlatformResponse>
SendRequest(const std::string& aUrl, const std::string& aMethod, const std::string& aPath)
{
  PlatformHttpClient client(aUrl, {});
  PlatformCall call;
  call.method = aMethod;
  call.path = aPath;
  return client.Call(call);
}

/// Requests a JSON object. Errors: those of SendRequest(); Internal if the response is not a JSON object with
/// status 200.
Result<Json>
FetchJson(const std::string& aUrl, const std::string& aPath)
{
  const auto response = SendRequest(aUrl, "GET", aPath);
  if (!response) {
    return response.error();
  }
  Json body = Json::parse(response.value().body, nullptr, false);
  if (response.value().status != kStatusOk || !body.is_object()) {
    return Error(ErrorKind::Internal,
                 fmt::format("expected a JSON object with status 200, got status {}",
                             response.value().status));
  }
  return body;
}

void
PrintDaemon(const std::string& aUrl, const Json& aStatus, std::ostream& aOut)
{
  aOut << fmt::format("daemon {} at {}: {}, {} requests, {} peers\n", aStatus.value("host_id", "?"),
                      aUrl, aStatus.value("draining", false) ? "draining" : "serving",
                      aStatus.value("requests_active", 0),
                      aStatus.value("peers", Json::array()).size());
  for (const Json& market : aStatus.value("markets", Json::array())) {
    aOut << fmt::format("  market {}: offset {} in force{}{}\n", market.value("market", "?"),
                        market.value("offset", std::int64_t{ -1 }),
                        market.value("certain", true) ? "" : ", uncertain",
                        market.value("log_reachable", true) ? "" : ", log away");
  }
}

void
PrintEndpoints(const Json& aStatus, std::ostream& aOut)
{
  for (const Json& endpoint : aStatus.value("endpoints", Json::array())) {
    const Json load = endpoint.value("load", Json::object());
    std::string models;
    for (const Json& model : load.value("models", Json::array())) {
      models += fmt::format(" {}@{}", model.value("name", "?"), model.value("version", "?"));
    }
    aOut << fmt::format("endpoint {} {} in {}: {}, running {}, waiting {},{}{}\n",
                        endpoint.value("id", "?"), endpoint.value("kind", "?"),
                        endpoint.value("failure_domain", "?"), endpoint.value("state", "?"),
                        load.value("running", 0), load.value("waiting", 0),
                        endpoint.contains("name") ? " " + endpoint.value("name", "") : "", models);
  }
}

/// Reads the options. Prints the faults of the options, or the help text if it was requested.
/// @return the exit status if the command ends here
std::optional<int>
ReadOptions(CommandOptions& aOptions, std::span<const std::string> aArguments,
            std::string_view aUsage, std::ostream& aOut, std::ostream& aErr)
{
  if (!aOptions.Read(aArguments, aErr)) {
    aErr << "usage: " << aUsage << '\n';
    return kExitUsage;
  }
  if (aOptions.IsHelpRequested()) {
    aOut << "usage: " << aUsage << '\n' << aOptions.Flags();
    return kExitOk;
  }
  return std::nullopt;
}

} // namespace

int
RunStatus(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr)
{
  CommandOptions options("status",
                         DescribeFlags("operators' URLs of the daemons, separated by commas"), {},
                         { "admin-url" });
  if (const auto exitStatus = ReadOptions(
        options, aArguments, "lagoonward status --admin-url URL[,URL...]", aOut, aErr)) {
    return *exitStatus;
  }
  bool allResponded = true;
  Json last;
  std::map<std::string, std::set<std::int64_t>> offsets;
  for (const std::string& url : SplitList(options.Get<std::string>("admin-url"))) {
    const auto status = FetchJson(url, "/status");
    if (!status) {
      aErr << "lagoonward status: " << url << ": " << status.error().message << '\n';
      allResponded = false;
      continue;
    }
    last = status.value();
    PrintDaemon(url, last, aOut);
    for (const Json& market : last.value("markets", Json::array())) {
      offsets[market.value("market", "?")].insert(market.value("offset", std::int64_t{ -1 }));
    }
  }
  PrintEndpoints(last, aOut);
  const bool agree = std::all_of(offsets.begin(), offsets.end(),
                                 [](const auto& aMarket) { return aMarket.second.size() == 1; });
  if (!agree) {
    aErr << "lagoonward status: the daemons have different offsets in force\n";
  }
  return allResponded && agree ? kExitOk : kExitFailed;
}

int
RunDrain(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr)
{
  CommandOptions options("drain", DescribeFlags("operators' URL of the daemon"), {},
                         { "admin-url" });
  if (const auto exitStatus =
        ReadOptions(options, aArguments, "lagoonward drain --admin-url URL", aOut, aErr)) {
    return *exitStatus;
  }
  const auto response = SendRequest(options.Get<std::string>("admin-url"), "POST", "/drain");
  if (!response || response.value().status != kStatusAccepted) {
    aErr << "lagoonward drain: "
         << (response ? fmt::format("status {}", response.value().status)
                      : response.error().message)
         << '\n';
    return kExitFailed;
  }
  aOut << "draining\n";
  return kExitOk;
}

int
RunExplain(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr)
{
  CommandOptions options("explain",
                         DescribeFlags("operators' URLs of the daemons, separated by commas"),
                         { "id" }, { "id", "admin-url" });
  if (const auto exitStatus = ReadOptions(
        options, aArguments, "lagoonward explain ID --admin-url URL[,URL...]", aOut, aErr)) {
    return *exitStatus;
  }
  bool found = false;
  const std::string path = "/requests/" + EscapePath(options.Get<std::string>("id"));
  for (const std::string& url : SplitList(options.Get<std::string>("admin-url"))) {
    const auto request = FetchJson(url, path);
    if (!request) {
      continue;
    }
    found = true;
    for (const Json& decision : request.value().value("decisions", Json::array())) {
      const WallTime at = FromUnixMilliseconds(decision.value("at_ms", std::int64_t{ 0 }));
      const auto fraction = ToUnixMilliseconds(at) % 1000;
      aOut << fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                          std::chrono::time_point_cast<Seconds>(at), fraction,
                          decision.value("text", ""));
    }
  }
  if (!found) {
    aErr << "lagoonward explain: none of the given daemons has a record of this request\n";
  }
  return found ? kExitOk : kExitFailed;
}

} // namespace lagoonward
