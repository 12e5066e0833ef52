#include "Lagoonward/Settings/RelaySettingsReader.h"

#include "Lagoonward/Settings/SettingTexts.h"
#include "Lagoonward/Settings/SettingsReader.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace lagoonward {

namespace po = boost::program_options;

namespace {

/// Settings that have no default.
constexpr std::array kRequired{ "name",   "listen",         "ready",           "peer",
                                "region", "failure-domain", "failure-domains", "store-url" };

/// Shortest time within which a daemon can detect a leaving endpoint when the daemon that reads on its behalf has
/// failed: two checks between daemons and one read.
constexpr Milliseconds kMinimumLeavingNotice{ 700 };

/// More slots than a service's endpoints have in any deployment.
constexpr int kMaximumPoolSlots = 65'536;

/// Fewer leave no room for the connections of a small deployment.
constexpr std::size_t kMinimumDescriptors = 128;

/// The unparsed values of the settings.
struct RawRelaySettings
{
  std::string listen;
  std::string ready;
  std::string peer;
  std::string metrics;
  std::string forward;
  std::string failureDomains;
  std::string seeds;
  std::string logLevel;
  std::string requestQueue;
  int queuePoolSlots = 0;
  std::string memoryMegabytes;
  std::string maximumDescriptors;
  int graceMilliseconds = 0;
  int leavingNoticeMilliseconds = 0;
  int endpointHeartbeatMilliseconds = 0;
  int configurationNoticeMilliseconds = 0;
  int leaseQuietMilliseconds = 0;
  int usageWindowSeconds = 0;
  int usageLatenessSeconds = 0;
  int retryWindowSeconds = 0;
};

po::options_description
Describe(RelayDaemonSettings& aSettings, RawRelaySettings& aRaw, std::string& aFile)
{
  po::options_description options("settings");
  auto add = options.add_options();
  add("settings", po::value(&aFile), "FILE of lines `name = value`");
  add("name", po::value(&aSettings.name), "this host's name in its orders");
  add("listen", po::value(&aRaw.listen), "IP:PORT for callers");
  add("ready", po::value(&aRaw.ready), "IP:PORT that tells a balancer if it is ready");
  add("peer", po::value(&aRaw.peer), "IP:PORT, UDP and TCP, between daemons");
  add("metrics", po::value(&aRaw.metrics)->default_value(""), "IP:PORT for metrics; empty: none");
  add("forward", po::value(&aRaw.forward)->default_value(""),
      "IP:PORT for requests that other daemons forward; empty: none");
  add("region", po::value(&aSettings.region), "region of this host");
  add("failure-domain", po::value(&aSettings.failureDomain), "of this host");
  add("failure-domains", po::value(&aRaw.failureDomains), "all, joined by commas");
  add("seeds", po::value(&aRaw.seeds)->default_value(""), "IP:PORT of peers, joined by commas");
  add("store-url", po::value(&aSettings.storeUrl), "URL of the platform's store");
  add("cloud-url", po::value(&aSettings.cloudUrl)->default_value(""),
      "URL for orders; empty: none");
  add("cluster", po::value(&aSettings.cluster)->default_value("lagoonward"), "name of the cluster");
  add("peer-keys", po::value(&aSettings.peerKeys)->default_value(""), "ID:HEX[,ID:HEX...]");
  add("log-level", po::value(&aRaw.logLevel)->default_value("info"), "debug, info, warning, error");
  add("grace-ms", po::value(&aRaw.graceMilliseconds)->default_value(8000),
      "from SIGTERM to the end by force");
  add("leaving-notice-ms", po::value(&aRaw.leavingNoticeMilliseconds)->default_value(2000),
      "new work may reach a leaving endpoint for so long");
  add("endpoint-heartbeat-ms", po::value(&aRaw.endpointHeartbeatMilliseconds)->default_value(1000),
      "endpoints renew their entries at this interval");
  add("configuration-notice-ms",
      po::value(&aRaw.configurationNoticeMilliseconds)->default_value(2000),
      "a configuration must be in force at all daemons after so long");
  add("lease-quiet-ms", po::value(&aRaw.leaseQuietMilliseconds)->default_value(3000),
      "orders do not go from one daemon to another and back within this");
  add("usage-window-s", po::value(&aRaw.usageWindowSeconds)->default_value(5),
      "length of a window of reported usage");
  add("usage-lateness-s", po::value(&aRaw.usageLatenessSeconds)->default_value(10),
      "usage is due so long after its window");
  add("limit-tolerance", po::value(&aSettings.limitTolerance)->default_value(0),
      "part by which clients' limits may be exceeded, all daemons together");
  add("limit-slack", po::value(&aSettings.limitSlack)->default_value(0),
      "tokens by which they may be exceeded beside that");
  add("retry-ratio", po::value(&aSettings.retryRatio)->default_value(0.2),
      "repeats allowed for each request");
  add("retry-slack", po::value(&aSettings.retrySlack)->default_value(54),
      "repeats allowed beyond that in a window, all daemons together");
  add("retry-window-s", po::value(&aRaw.retryWindowSeconds)->default_value(10),
      "length of that window");
  add("request-queue", po::value(&aRaw.requestQueue)->default_value("off"),
      "which requests wait for a free slot of an endpoint: off, calls (to plain services with a "
      "route that states a timeout), all (to all such services)");
  add("queue-pool-slots", po::value(&aRaw.queuePoolSlots)->default_value(16),
      "slots of endpoints that one queue should give out; fewer where hosts are small, as each "
      "queue is kept by one of them");
  add("memory-mb", po::value(&aRaw.memoryMegabytes)->default_value(""),
      "memory that this process may use, in MB; a quarter of it is for requests, a quarter for "
      "responses on their way; empty: not known");
  add("max-descriptors", po::value(&aRaw.maximumDescriptors)->default_value(""),
      "descriptors that this process may open; three eighths are not for accepted connections; "
      "empty: what the system allows");
  return options;
}

void
ParseRequestQueue(const std::string& aText, RequestQueueing& aQueueing,
                  std::vector<std::string>& aFaults)
{
  if (aText == "off") {
    aQueueing = RequestQueueing::Off;
  } else if (aText == "calls") {
    aQueueing = RequestQueueing::Calls;
  } else if (aText == "all") {
    aQueueing = RequestQueueing::All;
  } else {
    aFaults.push_back(fmt::format("request-queue: \"{}\" is none of off, calls and all", aText));
  }
}

void
ParseAddress(const char* aName, const std::string& aText, SocketAddress& aAddress,
             std::vector<std::string>& aFaults)
{
  if (aText.empty()) {
    return;
  }
  if (const Fault fault = ReadAddress(aText, aAddress)) {
    aFaults.push_back(fmt::format("{}: \"{}\" {}", aName, aText, *fault));
  }
}

void
ParseMemory(const std::string& aText, double& aMegabytes, std::vector<std::string>& aFaults)
{
  if (aText.empty()) {
    return;
  }
  const char* const end = aText.data() + aText.size();
  const auto [next, error] = std::from_chars(aText.data(), end, aMegabytes);
  const bool isNumber = error == std::errc() && next == end && std::isfinite(aMegabytes);
  if (!isNumber || aMegabytes <= 0) {
    aFaults.push_back(fmt::format("memory-mb: must be greater than zero, got \"{}\"", aText));
  }
}

void
ParseDescriptors(const std::string& aText, std::size_t& aCount, std::vector<std::string>& aFaults)
{
  if (aText.empty()) {
    return;
  }
  const char* const end = aText.data() + aText.size();
  const auto [next, error] = std::from_chars(aText.data(), end, aCount);
  if (error != std::errc() || next != end || aCount < kMinimumDescriptors) {
    aFaults.push_back(fmt::format("max-descriptors: must be a whole number from {} on, got \"{}\"",
                                  kMinimumDescriptors, aText));
  }
}

template<typename Duration>
void
ParsePositive(const char* aName, int aValue, Duration& aDuration, std::vector<std::string>& aFaults)
{
  if (aValue <= 0) {
    aFaults.push_back(fmt::format("{}: must be greater than zero, got {}", aName, aValue));
  }
  aDuration = Duration(aValue);
}

void
ParseRawSettings(const RawRelaySettings& aRaw, RelaySettingsOutcome& aOutcome)
{
  RelayDaemonSettings& settings = aOutcome.settings;
  auto& faults = aOutcome.faults;
  ParseAddress("listen", aRaw.listen, settings.listen, faults);
  ParseAddress("ready", aRaw.ready, settings.ready, faults);
  ParseAddress("peer", aRaw.peer, settings.peer, faults);
  ParseAddress("metrics", aRaw.metrics, settings.metrics, faults);
  ParseAddress("forward", aRaw.forward, settings.forward, faults);
  for (const std::string& seed : SplitList(aRaw.seeds)) {
    SocketAddress address;
    ParseAddress("seeds", seed, address, faults);
    settings.seeds.push_back(std::move(address));
  }
  settings.failureDomains = SplitList(aRaw.failureDomains);
  ParsePositive("grace-ms", aRaw.graceMilliseconds, settings.grace, faults);
  ParsePositive("leaving-notice-ms", aRaw.leavingNoticeMilliseconds, settings.leavingNotice,
                faults);
  if (settings.leavingNotice > Milliseconds(0) && settings.leavingNotice < kMinimumLeavingNotice) {
    faults.push_back(
      fmt::format("leaving-notice-ms: {} is below the minimum of {}, within which all "
                  "daemons can learn that an endpoint leaves",
                  settings.leavingNotice.count(), kMinimumLeavingNotice.count()));
  }
  ParsePositive("endpoint-heartbeat-ms", aRaw.endpointHeartbeatMilliseconds,
                settings.endpointHeartbeat, faults);
  ParsePositive("configuration-notice-ms", aRaw.configurationNoticeMilliseconds,
                settings.configurationNotice, faults);
  ParsePositive("lease-quiet-ms", aRaw.leaseQuietMilliseconds, settings.leaseQuiet, faults);
  ParsePositive("usage-window-s", aRaw.usageWindowSeconds, settings.usageWindow, faults);
  ParsePositive("usage-lateness-s", aRaw.usageLatenessSeconds, settings.usageLateness, faults);
  ParsePositive("retry-window-s", aRaw.retryWindowSeconds, settings.retryWindow, faults);
  settings.queuePoolSlots = aRaw.queuePoolSlots;
  if (aRaw.queuePoolSlots < 1 || aRaw.queuePoolSlots > kMaximumPoolSlots) {
    faults.push_back(fmt::format("queue-pool-slots: must be from 1 to {}, got {}",
                                 kMaximumPoolSlots, aRaw.queuePoolSlots));
  }
  ParseRequestQueue(aRaw.requestQueue, settings.requestQueueing, faults);
  ParseMemory(aRaw.memoryMegabytes, settings.memoryMegabytes, faults);
  ParseDescriptors(aRaw.maximumDescriptors, settings.maximumDescriptors, faults);
  if (const Fault fault = ReadLogLevel(aRaw.logLevel, settings.logLevel)) {
    faults.push_back(fmt::format("log-level: \"{}\" {}", aRaw.logLevel, *fault));
  }
  if (const Fault fault = ReadUrl(settings.storeUrl, settings.storeUrl)) {
    faults.push_back(fmt::format("store-url: \"{}\" {}", settings.storeUrl, *fault));
  }
}

} // namespace

RelaySettingsOutcome
RelaySettingsReader::Read(std::span<const std::string> aArguments,
                          std::span<const std::string> aEnvironment)
{
  RelaySettingsOutcome outcome;
  RawRelaySettings raw;
  const po::options_description options = Describe(outcome.settings, raw, outcome.file);
  po::variables_map values;
  try {
    // The first source that contains a setting takes precedence
    po::options_description all;
    all.add(options).add_options()("help", "");
    po::store(po::command_line_parser({ aArguments.begin(), aArguments.end() }).options(all).run(),
              values);
    if (values.count("help") > 0) {
      outcome.helpRequested = true;
      return outcome;
    }
    std::ostringstream variables;
    for (const auto& option : options.options()) {
      const std::string prefix = SettingsReader::VariableName(option->long_name()) + "=";
      for (const std::string& entry : aEnvironment) {
        if (entry.starts_with(prefix)) {
          variables << option->long_name() << '=' << entry.substr(prefix.size()) << '\n';
        }
      }
    }
    std::istringstream variableLines(variables.str());
    po::store(po::parse_config_file(variableLines, options), values);
    if (values.count("settings") > 0) {
      const auto path = values["settings"].as<std::string>();
      outcome.file = path;
      std::ifstream file(path);
      if (!file) {
        outcome.faults.push_back(fmt::format("settings: cannot open file {}", path));
        return outcome;
      }
      po::store(po::parse_config_file(file, options), values);
    }
    for (const char* name : kRequired) {
      if (values.count(name) == 0) {
        outcome.faults.push_back(fmt::format("{}: missing", name));
      }
    }
    po::notify(values);
  } catch (const po::error& fault) {
    outcome.faults.emplace_back(fault.what());
    return outcome;
  }
  ParseRawSettings(raw, outcome);
  return outcome;
}

std::string
RelaySettingsReader::Help()
{
  RelayDaemonSettings settings;
  RawRelaySettings raw;
  std::string file;
  std::ostringstream text;
  text << Describe(settings, raw, file);
  return std::move(text).str();
}

} // namespace lagoonward
