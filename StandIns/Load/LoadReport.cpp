#include "StandIns/Load/LoadReport.h"

#include "StandIns/Engine/TokenFunction.h"
#include "StandIns/Http/HttpClient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <thread>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kFetchTimeout{ 10 };

/// The platform may be in an outage: maximum number of requests, and the delay between them.
constexpr int kMaxFetches = 60;
constexpr std::chrono::milliseconds kFetchRetryDelay{ 250 };

/// Maximum number of faults and of notes in the text report.
constexpr std::size_t kMaxLines = 20;

json
FetchJson(const std::string& aUrl)
{
  for (int attempts = 0; attempts < kMaxFetches; ++attempts) {
    const auto answer = Fetch("GET", aUrl, {}, kFetchTimeout);
    if (answer.status == 200) {
      return json::parse(answer.body);
    }
    std::this_thread::sleep_for(kFetchRetryDelay);
  }
  throw std::runtime_error("no successful response from " + aUrl);
}

/// The aQuantile quantile of the values; zero if there are none.
std::int64_t
Percentile(std::vector<std::int64_t> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto place = aValues.begin() + static_cast<std::ptrdiff_t>(last * aQuantile);
  std::nth_element(aValues.begin(), place, aValues.end());
  return *place;
}

void
AppendLines(std::string& aText, std::string_view aTitle, const std::vector<std::string>& aLines)
{
  for (std::size_t index = 0; index < std::min(aLines.size(), kMaxLines); ++index) {
    aText += fmt::format("{}: {}\n", aTitle, aLines[index]);
  }
  if (aLines.size() > kMaxLines) {
    aText += fmt::format("{}: and {} more\n", aTitle, aLines.size() - kMaxLines);
  }
}

} // namespace

FleetCounters
ReadFleetCounters(const std::string& aPlatformUrl)
{
  const auto fleet = FetchJson(aPlatformUrl + "/fleet");
  const auto stats = FetchJson(aPlatformUrl + "/stats");
  FleetCounters counters;
  counters.executions = fleet.at("executions").get<std::map<std::string, std::int64_t>>();
  counters.recomputed = fleet.at("recomputed").get<std::int64_t>();
  counters.generated = fleet.at("generated").get<std::int64_t>();
  counters.cost = stats.at("cost").get<double>();
  return counters;
}

LoadReport::LoadReport(const std::vector<std::unique_ptr<Caller>>& aCallers,
                       const FleetCounters& aBefore, const FleetCounters& aAfter)
  : recomputed(aAfter.recomputed - aBefore.recomputed)
  , generated(aAfter.generated - aBefore.generated)
  , cost(aAfter.cost - aBefore.cost)
{
  for (const auto& caller : aCallers) {
    this->CountCaller(*caller, aAfter);
  }
}

void
LoadReport::CountCaller(const Caller& aCaller, const FleetCounters& aAfter)
{
  const auto& request = aCaller.Request();
  const auto& result = aCaller.Result();
  ++this->requests;
  ++this->outcomes[result.outcome];
  this->retried += result.attempts > 1 ? 1 : 0;
  auto& row = this->classes[ToString(request.kind)];
  ++row.requests;
  if (result.outcome == Outcome::Correct) {
    row.firstTokens.push_back(result.firstToken.count());
    row.totals.push_back(result.total.count());
    row.longestGap = std::max(row.longestGap, result.longestGap.count());
  } else {
    const bool allowed =
      result.outcome == Outcome::RefusedNotRun || result.outcome == Outcome::Unknown;
    auto& list = allowed ? this->notes : this->faults;
    list.push_back(
      fmt::format("{} after {} attempts: {}", request.key, result.attempts, result.detail));
  }
  if (request.kind == RequestKind::Submission || request.kind == RequestKind::Lookup) {
    const auto found = aAfter.executions.find(ExecutionKey(request.body));
    this->CheckExecutions(aCaller, found == aAfter.executions.end() ? 0 : found->second);
  }
}

void
LoadReport::CheckExecutions(const Caller& aCaller, std::int64_t aCount)
{
  const auto& key = aCaller.Request().key;
  const auto outcome = aCaller.Result().outcome;
  if (aCaller.Request().kind == RequestKind::Submission && aCount > 1) {
    ++this->duplicated;
    this->faults.push_back(
      fmt::format("{} was executed {} times, expected at most once", key, aCount));
  }
  if (outcome == Outcome::RefusedNotRun && aCount > 0) {
    ++this->executedAfterRefusal;
    this->faults.push_back(fmt::format("{} was refused as not run, but was executed", key));
  }
  if (outcome == Outcome::Correct && aCount == 0) {
    ++this->answeredWithoutExecution;
    this->faults.push_back(fmt::format("{} was answered, but was not executed", key));
  }
}

bool
LoadReport::IsClean() const
{
  return this->faults.empty();
}

std::string
LoadReport::ToText() const
{
  const auto count = [this](Outcome aOutcome) {
    const auto found = this->outcomes.find(aOutcome);
    return found == this->outcomes.end() ? 0 : found->second;
  };
  std::string text;
  const auto line = [&text](std::string_view aName, const auto& aValue) {
    text += fmt::format("{:<34}{:>10}\n", aName, aValue);
  };
  line("requests", this->requests);
  line("accepted", this->requests - count(Outcome::RefusedNotRun));
  line("answered whole", count(Outcome::Correct));
  line("lost", count(Outcome::Lost) + count(Outcome::Pending));
  line("wrong answers", count(Outcome::Wrong));
  line("duplicated", this->duplicated);
  line("refused, not run", count(Outcome::RefusedNotRun));
  line("refused as not run, but ran", this->executedAfterRefusal);
  line("outcome unknown (non-idempotent)", count(Outcome::Unknown));
  line("callers who came back", this->retried);
  line("tokens generated", this->generated);
  line("tokens recomputed", this->recomputed);
  line("cost of the hosts", fmt::format("{:.4f}", this->cost));
  text += fmt::format("\n{:<12}{:>9}{:>14}{:>14}{:>11}{:>11}{:>13}\n", "class", "requests",
                      "first p50 ms", "first p95 ms", "all p50", "all p95", "longest gap");
  for (const auto& [name, row] : this->classes) {
    text += fmt::format("{:<12}{:>9}{:>14}{:>14}{:>11}{:>11}{:>13}\n", name, row.requests,
                        Percentile(row.firstTokens, 0.5), Percentile(row.firstTokens, 0.95),
                        Percentile(row.totals, 0.5), Percentile(row.totals, 0.95), row.longestGap);
  }
  AppendLines(text, "note", this->notes);
  AppendLines(text, "FAULT", this->faults);
  return text;
}

std::string
LoadReport::ToJson() const
{
  const auto count = [this](Outcome aOutcome) {
    const auto found = this->outcomes.find(aOutcome);
    return found == this->outcomes.end() ? 0 : found->second;
  };
  json rows = json::object();
  for (const auto& [name, row] : this->classes) {
    rows[name] = { { "requests", row.requests },
                   { "first_token_ms_p50", Percentile(row.firstTokens, 0.5) },
                   { "first_token_ms_p95", Percentile(row.firstTokens, 0.95) },
                   { "total_ms_p50", Percentile(row.totals, 0.5) },
                   { "total_ms_p95", Percentile(row.totals, 0.95) },
                   { "longest_gap_ms", row.longestGap } };
  }
  return json{
    { "requests", this->requests },
    { "answered_whole", count(Outcome::Correct) },
    { "lost", count(Outcome::Lost) + count(Outcome::Pending) },
    { "wrong", count(Outcome::Wrong) },
    { "duplicated", this->duplicated },
    { "refused_not_run", count(Outcome::RefusedNotRun) },
    { "broken_promises", this->executedAfterRefusal },
    { "unknown", count(Outcome::Unknown) },
    { "retried", this->retried },
    { "tokens_generated", this->generated },
    { "tokens_recomputed", this->recomputed },
    { "cost", this->cost },
    { "classes", rows },
    { "faults", this->faults }
  }.dump();
}

} // namespace lagoonward::standins
