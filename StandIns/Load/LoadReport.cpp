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

/// The platform may just be away: it is asked so often, with this pause.
constexpr int kFetchTries = 60;
constexpr std::chrono::milliseconds kFetchPause{ 250 };

/// Faults and notes that the text lists, at most.
constexpr std::size_t kLinesShown = 20;

json
FetchJson(const std::string& aUrl)
{
  for (int tries = 0; tries < kFetchTries; ++tries) {
    const auto answer = Fetch("GET", aUrl, {}, kFetchTimeout);
    if (answer.status == 200) {
      return json::parse(answer.body);
    }
    std::this_thread::sleep_for(kFetchPause);
  }
  throw std::runtime_error("no answer from " + aUrl);
}

/// The value below which aShare of the values lie; zero where there is none.
std::int64_t
Percentile(std::vector<std::int64_t> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto place = aValues.begin() + static_cast<std::ptrdiff_t>(last * aShare);
  std::nth_element(aValues.begin(), place, aValues.end());
  return *place;
}

void
AppendLines(std::string& aText, std::string_view aTitle, const std::vector<std::string>& aLines)
{
  for (std::size_t index = 0; index < std::min(aLines.size(), kLinesShown); ++index) {
    aText += fmt::format("{}: {}\n", aTitle, aLines[index]);
  }
  if (aLines.size() > kLinesShown) {
    aText += fmt::format("{}: and {} more\n", aTitle, aLines.size() - kLinesShown);
  }
}

} // namespace

FleetAccount
ReadFleetAccount(const std::string& aPlatformUrl)
{
  const auto fleet = FetchJson(aPlatformUrl + "/fleet");
  const auto stats = FetchJson(aPlatformUrl + "/stats");
  FleetAccount account;
  account.executions = fleet.at("executions").get<std::map<std::string, std::int64_t>>();
  account.recomputed = fleet.at("recomputed").get<std::int64_t>();
  account.generated = fleet.at("generated").get<std::int64_t>();
  account.cost = stats.at("cost").get<double>();
  return account;
}

LoadReport::LoadReport(const std::vector<std::unique_ptr<Caller>>& aCallers,
                       const FleetAccount& aBefore, const FleetAccount& aAfter)
  : recomputed(aAfter.recomputed - aBefore.recomputed)
  , generated(aAfter.generated - aBefore.generated)
  , cost(aAfter.cost - aBefore.cost)
{
  for (const auto& caller : aCallers) {
    this->CountCaller(*caller, aAfter);
  }
}

void
LoadReport::CountCaller(const Caller& aCaller, const FleetAccount& aAfter)
{
  const auto& request = aCaller.Request();
  const auto& result = aCaller.Result();
  ++this->requests;
  ++this->outcomes[result.outcome];
  this->retried += result.tries > 1 ? 1 : 0;
  auto& row = this->classes[ToString(request.kind)];
  ++row.requests;
  if (result.outcome == Outcome::Whole) {
    row.firstTokens.push_back(result.firstToken.count());
    row.totals.push_back(result.total.count());
    row.longestGap = std::max(row.longestGap, result.longestGap.count());
  } else {
    const bool allowed =
      result.outcome == Outcome::RefusedNotRun || result.outcome == Outcome::Unknown;
    auto& list = allowed ? this->notes : this->faults;
    list.push_back(fmt::format("{} after {} tries: {}", request.key, result.tries, result.detail));
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
    ++this->doubled;
    this->faults.push_back(fmt::format("{} ran {} times", key, aCount));
  }
  if (outcome == Outcome::RefusedNotRun && aCount > 0) {
    ++this->brokenPromises;
    this->faults.push_back(fmt::format("{} was refused as not run, and ran", key));
  }
  if (outcome == Outcome::Whole && aCount == 0) {
    ++this->answeredNotRun;
    this->faults.push_back(fmt::format("{} was answered, and nothing ran", key));
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
  line("answered whole", count(Outcome::Whole));
  line("lost", count(Outcome::Lost) + count(Outcome::Open));
  line("wrong answers", count(Outcome::Wrong));
  line("duplicated", this->doubled);
  line("refused, not run", count(Outcome::RefusedNotRun));
  line("refused as not run, but ran", this->brokenPromises);
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
    { "answered_whole", count(Outcome::Whole) },
    { "lost", count(Outcome::Lost) + count(Outcome::Open) },
    { "wrong", count(Outcome::Wrong) },
    { "duplicated", this->doubled },
    { "refused_not_run", count(Outcome::RefusedNotRun) },
    { "broken_promises", this->brokenPromises },
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
