#include "Lagoonward/Settings/SettingsReader.h"

#include "Lagoonward/Settings/SettingTexts.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace lagoonward {

namespace {

namespace po = boost::program_options;

constexpr std::string_view kVariablePrefix = "LAGOONWARD_";

Fault
ReadName(const std::string& aText, std::string& aTarget)
{
  const bool valid =
    !aText.empty() && std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
      return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_' || aByte == '.';
    });
  if (!valid) {
    return "must be a non-empty name of letters, digits, '-', '_' and '.'";
  }
  aTarget = aText;
  return {};
}

/// Parses an integer within inclusive bounds.
template<typename Number>
Fault
ReadNumber(const std::string& aText, std::int64_t aMinimum, std::int64_t aMaximum, Number& aTarget)
{
  std::int64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, failure] = std::from_chars(aText.data(), end, value);
  if (failure != std::errc() || stop != end || value < aMinimum || value > aMaximum) {
    return fmt::format("must be an integer from {} to {}", aMinimum, aMaximum);
  }
  aTarget = static_cast<Number>(value);
  return {};
}

Fault
ReadMilliseconds(const std::string& aText, std::int64_t aMaximum, Milliseconds& aTarget)
{
  std::int64_t value = 0;
  Fault fault = ReadNumber(aText, 0, aMaximum, value);
  aTarget = Milliseconds(value);
  return fault;
}

Fault
ReadNames(const std::string& aText, std::vector<std::string>& aTarget)
{
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', begin), aText.size());
    std::string name;
    if (Fault fault = ReadName(aText.substr(begin, end - begin), name)) {
      return fault;
    }
    aTarget.push_back(name);
    begin = end + 1;
  }
  return {};
}

std::vector<SettingRule>
MakeRules()
{
  using S = DaemonSettings;
  using T = const std::string&;
  constexpr std::int64_t kHourMs = 3'600'000;
  constexpr std::int64_t kGibibyte = 1LL << 30;
  return {
    { "listen", "IP:PORT", "", true, "Address for callers.",
      [](S& aSettings, T aText) { return ReadAddress(aText, aSettings.listen); } },
    { "admin", "IP:PORT", "", true, "Address for operators: health, metrics, status.",
      [](S& aSettings, T aText) { return ReadAddress(aText, aSettings.admin); } },
    { "peer", "IP:PORT", "", true, "Address for other daemons, UDP and TCP.",
      [](S& aSettings, T aText) { return ReadAddress(aText, aSettings.peer); } },
    { "region", "NAME", "", true, "Region that this host is in.",
      [](S& aSettings, T aText) { return ReadName(aText, aSettings.region); } },
    { "failure-domain", "NAME", "", true, "Failure domain that this host is in.",
      [](S& aSettings, T aText) { return ReadName(aText, aSettings.failureDomain); } },
    { "log-url", "URL", "", true, "The platform's log service.",
      [](S& aSettings, T aText) { return ReadUrl(aText, aSettings.logUrl); } },
    { "cloud-url", "URL", "", true, "The cloud's interface for hosts, prices and notices.",
      [](S& aSettings, T aText) { return ReadUrl(aText, aSettings.cloudUrl); } },
    { "host-list-url", "URL", "", true, "The platform's host list.",
      [](S& aSettings, T aText) { return ReadUrl(aText, aSettings.hostListUrl); } },
    { "weight-store-url", "URL", "", true, "The platform's weight store.",
      [](S& aSettings, T aText) { return ReadUrl(aText, aSettings.weightStoreUrl); } },
    { "host-id", "NAME", "", false, "This host's id in the host list; by default the peer address.",
      [](S& aSettings, T aText) { return ReadName(aText, aSettings.hostId); } },
    { "market", "NAME[,NAME...]", "", false,
      "Markets to follow from the start; others are followed when a caller names them.",
      [](S& aSettings, T aText) { return ReadNames(aText, aSettings.markets); } },
    { "cluster", "NAME", "lagoonward", false, "Daemons of another cluster are ignored.",
      [](S& aSettings, T aText) { return ReadName(aText, aSettings.cluster); } },
    { "peer-keys", "ID:HEX[,ID:HEX...]", "", false,
      "Shared keys between daemons; the first signs, all are accepted.",
      [](S& aSettings, T aText) {
        aSettings.peerKeys = aText;
        return Fault();
      } },
    { "log-level", "LEVEL", "info", false, "debug, info, warning or error.",
      [](S& aSettings, T aText) { return ReadLogLevel(aText, aSettings.logLevel); } },
    { "caller-threads", "N", "2", false, "Threads that speak with callers.",
      [](S& aSettings, T aText) { return ReadNumber(aText, 1, 64, aSettings.callerThreads); } },
    { "traffic-threads", "N", "2", false, "Threads that speak with endpoints.",
      [](S& aSettings, T aText) { return ReadNumber(aText, 1, 64, aSettings.runs.threads); } },
    { "max-connections", "N", "4096", false, "Callers' connections at once.",
      [](S& aSettings, T aText) {
        return ReadNumber(aText, 1, 1'000'000, aSettings.maximumConnections);
      } },
    { "max-body-bytes", "BYTES", "4194304", false, "Largest body of a request.",
      [](S& aSettings, T aText) {
        return ReadNumber(aText, 1, kGibibyte, aSettings.maximumBodyBytes);
      } },
    { "max-tokens", "N", "32768", false, "Largest answer that a caller may ask for, in tokens.",
      [](S& aSettings, T aText) {
        return ReadNumber(aText, 1, 10'000'000, aSettings.calls.maximumMaxTokens);
      } },
    { "connect-timeout-ms", "MS", "500", false, "Longest wait for a connection to an endpoint.",
      [](S& aSettings, T aText) {
        return ReadMilliseconds(aText, kHourMs, aSettings.runs.client.connectTimeout);
      } },
    { "silence-ms", "MS", "1000", false,
      "Shortest silence after which a stream is resumed on a new connection.",
      [](S& aSettings, T aText) {
        return ReadMilliseconds(aText, kHourMs, aSettings.runs.attempts.minimumSilence);
      } },
    { "reconnect-ms", "MS", "1000", false,
      "How long a new connection may stay silent before the endpoint is blamed.",
      [](S& aSettings, T aText) {
        return ReadMilliseconds(aText, kHourMs, aSettings.runs.attempts.reconnectTimeout);
      } },
    { "answer-lifetime-ms", "MS", "600000", false,
      "How long an answer can be asked for again under its idempotency key.",
      [](S& aSettings, T aText) {
        return ReadMilliseconds(aText, kHourMs * 24, aSettings.runs.attempts.answerLifetime);
      } },
    { "answer-bytes", "BYTES", "16777216", false, "Memory for such answers.",
      [](S& aSettings, T aText) {
        return ReadNumber(aText, 0, kGibibyte, aSettings.runs.attempts.answerBytes);
      } },
    { "abandon-grace-ms", "MS", "10000", false,
      "How long a request with an idempotency key goes on when its caller has gone.",
      [](S& aSettings, T aText) {
        return ReadMilliseconds(aText, kHourMs, aSettings.runs.attempts.abandonGrace);
      } },
    { "drain-notice-ms", "MS", "1000", false,
      "Time between turning unready and ceasing to listen when the daemon drains.",
      [](S& aSettings, T aText) {
        return ReadMilliseconds(aText, kHourMs, aSettings.drainNotice);
      } },
  };
}

/// Returns the given flags by name. Adds a fault for each flag that is unknown, has no value or is repeated.
std::map<std::string, std::string>
CollectFlags(std::span<const std::string> aArguments, SettingsOutcome& aOutcome)
{
  po::options_description description;
  description.add_options()("help", "");
  for (const SettingRule& rule : SettingsReader::Rules()) {
    description.add_options()(rule.name.c_str(), po::value<std::vector<std::string>>(), "");
  }
  po::variables_map found;
  try {
    const std::vector<std::string> arguments(aArguments.begin(), aArguments.end());
    po::command_line_parser parser(arguments);
    parser.options(description).positional({}).allow_unregistered();
    parser.style(po::command_line_style::unix_style & ~po::command_line_style::allow_guessing);
    const po::parsed_options parsed = parser.run();
    for (const std::string& unknown :
         po::collect_unrecognized(parsed.options, po::include_positional)) {
      aOutcome.faults.push_back(fmt::format("{}: unknown setting", unknown));
    }
    po::store(parsed, found);
  } catch (const po::error& error) {
    aOutcome.faults.push_back(error.what());
  }
  aOutcome.helpRequested = found.count("help") != 0;
  std::map<std::string, std::string> values;
  for (const SettingRule& rule : SettingsReader::Rules()) {
    if (found.count(rule.name) == 0) {
      continue;
    }
    const auto& given = found[rule.name].as<std::vector<std::string>>();
    if (given.size() > 1) {
      aOutcome.faults.push_back(fmt::format("--{}: given {} times", rule.name, given.size()));
    }
    values[rule.name] = given.back();
  }
  return values;
}

/// Adds the variables for which no flag was given. Adds a fault for each unknown variable.
void
AddVariables(std::span<const std::string> aEnvironment, std::map<std::string, std::string>& aValues,
             SettingsOutcome& aOutcome)
{
  for (const std::string& entry : aEnvironment) {
    if (!entry.starts_with(kVariablePrefix)) {
      continue;
    }
    const std::size_t equals = entry.find('=');
    const std::string variable = entry.substr(0, equals);
    const auto rules = SettingsReader::Rules();
    const auto rule = std::find_if(rules.begin(), rules.end(), [&](const SettingRule& aRule) {
      return SettingsReader::VariableName(aRule.name) == variable;
    });
    if (rule == rules.end()) {
      aOutcome.faults.push_back(fmt::format("{}: unknown setting", variable));
      continue;
    }
    aValues.emplace(rule->name, entry.substr(equals + 1));
  }
}

/// Adds the faults that involve more than one setting.
void
CheckConflicts(const DaemonSettings& aSettings, SettingsOutcome& aOutcome)
{
  const auto isSameAddress = [&](const SocketAddress& aFirst, const SocketAddress& aSecond) {
    return aFirst.port != 0 && aFirst.port == aSecond.port && aFirst.address == aSecond.address;
  };
  if (isSameAddress(aSettings.listen, aSettings.admin)) {
    aOutcome.faults.emplace_back("--listen and --admin: must not be the same address");
  }
  if (isSameAddress(aSettings.listen, aSettings.peer)) {
    aOutcome.faults.emplace_back("--listen and --peer: must not be the same address");
  }
  if (isSameAddress(aSettings.admin, aSettings.peer)) {
    aOutcome.faults.emplace_back("--admin and --peer: must not be the same address");
  }
}

} // namespace

SettingsOutcome
SettingsReader::Read(std::span<const std::string> aArguments,
                     std::span<const std::string> aEnvironment)
{
  SettingsOutcome outcome;
  std::map<std::string, std::string> values = CollectFlags(aArguments, outcome);
  if (outcome.helpRequested) {
    return outcome;
  }
  AddVariables(aEnvironment, values, outcome);
  for (const SettingRule& rule : Rules()) {
    const auto given = values.find(rule.name);
    const std::string& text = given == values.end() ? rule.defaultText : given->second;
    if (given == values.end() && text.empty()) {
      if (rule.required) {
        outcome.faults.push_back(fmt::format("--{}: missing; pass the flag or set {}", rule.name,
                                             VariableName(rule.name)));
      }
      continue;
    }
    if (const Fault fault = rule.apply(outcome.settings, text)) {
      outcome.faults.push_back(fmt::format("--{}: \"{}\" {}", rule.name, text, *fault));
    }
  }
  CheckConflicts(outcome.settings, outcome);
  if (outcome.settings.hostId.empty()) {
    outcome.settings.hostId =
      fmt::format("daemon-{}-{}", outcome.settings.peer.address, outcome.settings.peer.port);
  }
  return outcome;
}

std::string
SettingsReader::Help()
{
  std::string text;
  for (const SettingRule& rule : Rules()) {
    text += fmt::format("  --{} {}\n      {}", rule.name, rule.placeholder, rule.help);
    if (rule.required) {
      text += " Required.";
    }
    if (!rule.defaultText.empty()) {
      text += fmt::format(" Default: {}.", rule.defaultText);
    }
    text += fmt::format(" [{}]\n", VariableName(rule.name));
  }
  return text;
}

std::span<const SettingRule>
SettingsReader::Rules()
{
  static const std::vector<SettingRule> kRules = MakeRules();
  return kRules;
}

std::string
SettingsReader::VariableName(std::string_view aSetting)
{
  std::string name(kVariablePrefix);
  for (const char byte : aSetting) {
    name.push_back(byte == '-' ? '_'
                               : static_cast<char>(std::toupper(static_cast<unsigned char>(byte))));
  }
  return name;
}

} // namespace lagoonward
