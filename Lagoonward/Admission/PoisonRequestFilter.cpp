#include "Lagoonward/Admission/PoisonRequestFilter.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>
#include <numeric>

namespace lagoonward {

namespace {

const Log kLog("poison");

std::string_view
NameOf(PoisonStatus aStatus)
{
  switch (aStatus) {
    case PoisonStatus::Suspect:
      return "suspect";
    case PoisonStatus::Poisoned:
      return "poisoned";
    case PoisonStatus::Cleared:
      return "cleared";
  }
  return "unknown";
}

} // namespace

PoisonRequestFilter::PoisonRequestFilter(const PoisonFilterSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
PoisonRequestFilter::SetReportListener(Listener aListener)
{
  this->listener = std::move(aListener);
}

bool
PoisonRequestFilter::IsPoisoned(std::uint64_t aRequest)
{
  const std::lock_guard lock(this->mutex);
  const StatusEntry* known = this->FindStatus(aRequest, this->clock.Now());
  return known != nullptr && known->status == PoisonStatus::Poisoned;
}

bool
PoisonRequestFilter::IsAnyPoisoned(std::span<const std::uint64_t> aKeys)
{
  const std::lock_guard lock(this->mutex);
  if (this->statuses.empty()) {
    return false;
  }
  const TimePoint now = this->clock.Now();
  return std::any_of(aKeys.begin(), aKeys.end(), [&](std::uint64_t aKey) {
    const StatusEntry* known = this->FindStatus(aKey, now);
    return known != nullptr && known->status == PoisonStatus::Poisoned &&
           known->companions.AreWithin(aKeys);
  });
}

bool
PoisonRequestFilter::HasCompletedRecently(std::uint64_t aRequest)
{
  const std::lock_guard lock(this->mutex);
  return this->CompletedRecently(aRequest, this->clock.Now());
}

bool
PoisonRequestFilter::IsSuspect(std::uint64_t aRequest)
{
  const std::lock_guard lock(this->mutex);
  const StatusEntry* known = this->FindStatus(aRequest, this->clock.Now());
  return known != nullptr && known->status != PoisonStatus::Cleared;
}

void
PoisonRequestFilter::OnCrash(const CrashReport& aReport)
{
  bool isCounted = false;
  {
    const std::lock_guard lock(this->mutex);
    isCounted = this->CountCrash(aReport);
  }
  if (isCounted && this->listener) {
    this->listener(aReport);
  }
}

void
PoisonRequestFilter::OnRemoteCrash(const CrashReport& aReport)
{
  const std::lock_guard lock(this->mutex);
  static_cast<void>(this->CountCrash(aReport));
}

bool
PoisonRequestFilter::CountCrash(const CrashReport& aReport)
{
  const TimePoint now = this->clock.Now();
  const std::int64_t longest = this->settings.crashRetention.count();
  const bool isPlausible = aReport.age >= 0 && aReport.age <= longest && aReport.sentAge >= 0;
  if (!isPlausible || this->CompletedRecently(aReport.request, now)) {
    return false;
  }
  const TimePoint at = now - Milliseconds(aReport.age);
  const TimePoint sentAt = now - Milliseconds(std::clamp(aReport.sentAge, aReport.age, longest));
  if (!this->crashes.contains(aReport.request)) {
    this->EvictCrashes(now);
  }
  const auto [record, isNew] = this->crashes.try_emplace(aReport.request);
  CompanionKeys& companions = record->second.companions;
  if (isNew) {
    companions = aReport.companions;
  } else {
    companions.IntersectWith(aReport.companions);
  }
  std::vector<Crash>& known = record->second.crashes;
  std::erase_if(known,
                [&](const Crash& aEach) { return now - aEach.at > this->settings.crashRetention; });
  const double weight = aReport.hadPartialAnswer ? this->settings.partialAnswerWeight : 1;
  this->AddCrash(known, { aReport.endpoint, aReport.domain, at, weight }, sentAt);
  const double sum =
    std::accumulate(known.begin(), known.end(), 0.0,
                    [](double aSum, const Crash& aEach) { return aSum + aEach.weight; });
  if (sum >= this->settings.crashesToPoison) {
    this->RaiseStatus(aReport.request,
                      { PoisonStatus::Poisoned, now + this->settings.poisonRetention, companions });
  } else if (static_cast<int>(known.size()) >= this->settings.crashesToSuspect) {
    this->RaiseStatus(aReport.request,
                      { PoisonStatus::Suspect, now + this->settings.poisonRetention, companions });
  }
  return true;
}

void
PoisonRequestFilter::AddCrash(std::vector<Crash>& aKnown, const Crash& aCrash,
                              TimePoint aSentAt) const
{
  for (Crash& each : aKnown) {
    const auto interval = std::max(each.at, aCrash.at) - std::min(each.at, aCrash.at);
    // If the request was sent after the earlier endpoint was lost, the second loss is separate evidence
    const bool sameEvent = each.domain == aCrash.domain && aSentAt <= each.at &&
                           interval < this->settings.sameEventWindow;
    if (each.endpoint == aCrash.endpoint || sameEvent) {
      each.weight = std::max(each.weight, aCrash.weight);
      return;
    }
  }
  aKnown.push_back(aCrash);
  // Even if all of them have the lowest weight, these are enough to reach the threshold
  const auto maximumCrashes =
    static_cast<std::size_t>(this->settings.crashesToPoison / this->settings.partialAnswerWeight);
  if (aKnown.size() > maximumCrashes) {
    aKnown.erase(aKnown.begin());
  }
}

bool
PoisonRequestFilter::CompletedRecently(std::uint64_t aRequest, TimePoint aNow)
{
  const StatusEntry* known = this->FindStatus(aRequest, aNow);
  if (known != nullptr && known->status == PoisonStatus::Cleared) {
    return true;
  }
  const auto completion = this->completions.find(aRequest);
  return completion != this->completions.end() &&
         aNow - completion->second <= this->settings.completionRetention;
}

void
PoisonRequestFilter::OnRequestCompleted(std::uint64_t aRequest)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  this->completions[aRequest] = now;
  this->completionOrder.emplace_back(now, aRequest);
  while (this->completionOrder.size() > this->settings.maximumCompletions ||
         now - this->completionOrder.front().first > this->settings.completionRetention) {
    const auto [at, request] = this->completionOrder.front();
    this->completionOrder.pop_front();
    const auto found = this->completions.find(request);
    if (found != this->completions.end() && found->second == at) {
      this->completions.erase(found);
    }
  }
  // A request without crashes here needs no status: other daemons send a verdict once they have counted
  // `crashesToSuspect`
  const bool hadCrashes = this->crashes.erase(aRequest) > 0;
  const StatusEntry* known = this->FindStatus(aRequest, now);
  if (hadCrashes || (known != nullptr && known->status != PoisonStatus::Cleared)) {
    this->RaiseStatus(aRequest,
                      { PoisonStatus::Cleared, now + this->settings.completionRetention, {} });
  }
}

const PoisonRequestFilter::StatusEntry*
PoisonRequestFilter::FindStatus(std::uint64_t aRequest, TimePoint aNow)
{
  const auto found = this->statuses.find(aRequest);
  if (found == this->statuses.end()) {
    return nullptr;
  }
  if (found->second.expiresAt <= aNow) {
    this->statuses.erase(found);
    return nullptr;
  }
  return &found->second;
}

void
PoisonRequestFilter::RaiseStatus(std::uint64_t aRequest, const StatusEntry& aStatus)
{
  const TimePoint now = this->clock.Now();
  const StatusEntry* known = this->FindStatus(aRequest, now);
  if (known != nullptr && known->status == aStatus.status) {
    this->statuses[aRequest].companions.IntersectWith(aStatus.companions);
    return;
  }
  if (known != nullptr && known->status > aStatus.status) {
    return;
  }
  if (known == nullptr && this->statuses.size() >= this->settings.maximumRequests) {
    const auto first = std::min_element(
      this->statuses.begin(), this->statuses.end(), [](const auto& aLeft, const auto& aRight) {
        return std::pair(aLeft.second.status, aLeft.second.expiresAt) <
               std::pair(aRight.second.status, aRight.second.expiresAt);
      });
    this->statuses.erase(first);
  }
  this->statuses[aRequest] = aStatus;
  if (aStatus.status == PoisonStatus::Cleared) {
    this->crashes.erase(aRequest);
  }
  const auto lifetime = std::chrono::floor<Milliseconds>(aStatus.expiresAt - now);
  kLog.Event(aStatus.status == PoisonStatus::Poisoned ? LogLevel::Warning : LogLevel::Info,
             NameOf(aStatus.status),
             { { "subject", this->settings.subject },
               { "print", aRequest },
               { "companions", aStatus.companions.Keys().size() },
               { "for_ms", lifetime.count() } });
}

void
PoisonRequestFilter::EvictCrashes(TimePoint aNow)
{
  if (this->crashes.size() < this->settings.maximumRequests) {
    return;
  }
  std::erase_if(this->crashes, [&](const auto& aEach) {
    const std::vector<Crash>& known = aEach.second.crashes;
    return known.empty() || aNow - known.back().at > this->settings.crashRetention;
  });
  if (this->crashes.size() < this->settings.maximumRequests) {
    return;
  }
  const auto least = std::min_element(
    this->crashes.begin(), this->crashes.end(), [](const auto& aLeft, const auto& aRight) {
      const std::vector<Crash>& left = aLeft.second.crashes;
      const std::vector<Crash>& right = aRight.second.crashes;
      return std::pair(left.size(), left.back().at) < std::pair(right.size(), right.back().at);
    });
  this->crashes.erase(least);
}

std::vector<PoisonVerdict>
PoisonRequestFilter::Verdicts()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  std::erase_if(this->statuses, [&](const auto& aEach) { return aEach.second.expiresAt <= now; });
  std::vector<PoisonVerdict> verdicts;
  for (const auto& [request, each] : this->statuses) {
    const auto remaining = std::chrono::floor<Milliseconds>(each.expiresAt - now);
    if (remaining > this->settings.minimumVerdictLifetime) {
      verdicts.push_back(
        { request, each.status, static_cast<std::uint32_t>(remaining.count()), each.companions });
    }
  }
  if (verdicts.size() > this->settings.maximumVerdicts) {
    const auto rank = [](const PoisonVerdict& aVerdict) {
      return std::pair(aVerdict.status == PoisonStatus::Poisoned, aVerdict.expiresIn);
    };
    std::sort(verdicts.begin(), verdicts.end(),
              [&](const PoisonVerdict& aLeft, const PoisonVerdict& aRight) {
                return rank(aLeft) > rank(aRight);
              });
    verdicts.resize(this->settings.maximumVerdicts);
  }
  return verdicts;
}

void
PoisonRequestFilter::OnVerdicts(std::span<const PoisonVerdict> aVerdicts)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  for (const PoisonVerdict& verdict : aVerdicts) {
    if (verdict.status > PoisonStatus::Cleared) {
      continue;
    }
    const Milliseconds longest = verdict.status == PoisonStatus::Cleared
                                   ? this->settings.completionRetention
                                   : this->settings.poisonRetention;
    const auto remaining = std::min(Milliseconds(verdict.expiresIn), longest);
    // A successful completion observed by this daemon overrides the verdict
    const auto completion = this->completions.find(verdict.request);
    const bool isDisproved = verdict.status != PoisonStatus::Cleared &&
                             completion != this->completions.end() &&
                             now - completion->second <= this->settings.completionRetention;
    if (isDisproved) {
      this->RaiseStatus(
        verdict.request,
        { PoisonStatus::Cleared, completion->second + this->settings.completionRetention, {} });
    } else {
      this->RaiseStatus(verdict.request, { verdict.status, now + remaining, verdict.companions });
    }
  }
}

int
PoisonRequestFilter::PoisonedCount()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  return static_cast<int>(
    std::count_if(this->statuses.begin(), this->statuses.end(), [&](const auto& aEach) {
      return aEach.second.status == PoisonStatus::Poisoned && aEach.second.expiresAt > now;
    }));
}

} // namespace lagoonward
