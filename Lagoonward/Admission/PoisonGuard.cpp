#include "Lagoonward/Admission/PoisonGuard.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>
#include <numeric>

namespace lagoonward {

namespace {

const Log kLog("poison");

std::string_view
NameOf(PoisonStanding aStanding)
{
  switch (aStanding) {
    case PoisonStanding::Suspect:
      return "suspect";
    case PoisonStanding::Poisoned:
      return "poisoned";
    case PoisonStanding::Cleared:
      return "cleared";
  }
  return "unknown";
}

} // namespace

PoisonGuard::PoisonGuard(const PoisonSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
PoisonGuard::OnReport(Listener aListener)
{
  this->listener = std::move(aListener);
}

bool
PoisonGuard::IsPoisoned(std::uint64_t aRequest)
{
  const std::lock_guard lock(this->mutex);
  const Held* known = this->Find(aRequest, this->clock.Now());
  return known != nullptr && known->standing == PoisonStanding::Poisoned;
}

bool
PoisonGuard::IsSuspect(std::uint64_t aRequest)
{
  const std::lock_guard lock(this->mutex);
  const Held* known = this->Find(aRequest, this->clock.Now());
  return known != nullptr && known->standing != PoisonStanding::Cleared;
}

void
PoisonGuard::OnCrash(const CrashReport& aReport)
{
  bool isTold = false;
  {
    const std::lock_guard lock(this->mutex);
    isTold = this->Count(aReport);
  }
  if (isTold && this->listener) {
    this->listener(aReport);
  }
}

void
PoisonGuard::OnToldCrash(const CrashReport& aReport)
{
  const std::lock_guard lock(this->mutex);
  static_cast<void>(this->Count(aReport));
}

bool
PoisonGuard::Count(const CrashReport& aReport)
{
  const TimePoint now = this->clock.Now();
  const std::int64_t longest = this->settings.crashMemory.count();
  const bool isPlausible = aReport.age >= 0 && aReport.age <= longest && aReport.sentAge >= 0;
  if (!isPlausible || this->RanWhole(aReport.request, now)) {
    return false;
  }
  const TimePoint at = now - Milliseconds(aReport.age);
  const TimePoint sentAt = now - Milliseconds(std::clamp(aReport.sentAge, aReport.age, longest));
  if (!this->crashes.contains(aReport.request)) {
    this->MakeRoom(now);
  }
  std::vector<Crash>& known = this->crashes[aReport.request];
  std::erase_if(known,
                [&](const Crash& aEach) { return now - aEach.at > this->settings.crashMemory; });
  const double weight = aReport.hadBegun ? this->settings.lateCrash : 1;
  this->Add(known, { aReport.endpoint, aReport.domain, at, weight }, sentAt);
  const double sum =
    std::accumulate(known.begin(), known.end(), 0.0,
                    [](double aSum, const Crash& aEach) { return aSum + aEach.weight; });
  if (sum >= this->settings.crashesToPoison) {
    this->Hold(aReport.request, PoisonStanding::Poisoned, now + this->settings.poisonMemory);
  } else if (static_cast<int>(known.size()) >= this->settings.crashesToSuspect) {
    this->Hold(aReport.request, PoisonStanding::Suspect, now + this->settings.poisonMemory);
  }
  return true;
}

void
PoisonGuard::Add(std::vector<Crash>& aKnown, const Crash& aCrash, TimePoint aSentAt) const
{
  for (Crash& each : aKnown) {
    const auto apart = std::max(each.at, aCrash.at) - std::min(each.at, aCrash.at);
    // What was sent to another endpoint after an end that the request has seen is a trial of its own
    const bool sameEvent =
      each.domain == aCrash.domain && aSentAt <= each.at && apart < this->settings.sameEvent;
    if (each.endpoint == aCrash.endpoint || sameEvent) {
      each.weight = std::max(each.weight, aCrash.weight);
      return;
    }
  }
  aKnown.push_back(aCrash);
  // More are of no use to anyone
  const auto enough =
    static_cast<std::size_t>(this->settings.crashesToPoison / this->settings.lateCrash);
  if (aKnown.size() > enough) {
    aKnown.erase(aKnown.begin());
  }
}

bool
PoisonGuard::RanWhole(std::uint64_t aRequest, TimePoint aNow)
{
  const Held* known = this->Find(aRequest, aNow);
  if (known != nullptr && known->standing == PoisonStanding::Cleared) {
    return true;
  }
  const auto ran = this->whole.find(aRequest);
  return ran != this->whole.end() && aNow - ran->second <= this->settings.wholeMemory;
}

void
PoisonGuard::OnWhole(std::uint64_t aRequest)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  this->whole[aRequest] = now;
  this->wholeOrder.emplace_back(now, aRequest);
  while (this->wholeOrder.size() > this->settings.maximumWhole ||
         now - this->wholeOrder.front().first > this->settings.wholeMemory) {
    const auto [at, request] = this->wholeOrder.front();
    this->wholeOrder.pop_front();
    const auto found = this->whole.find(request);
    if (found != this->whole.end() && found->second == at) {
      this->whole.erase(found);
    }
  }
  // Crashes that others have seen of it are told of as soon as they are two
  const bool wasBlamed = this->crashes.erase(aRequest) > 0;
  const Held* known = this->Find(aRequest, now);
  if (wasBlamed || (known != nullptr && known->standing != PoisonStanding::Cleared)) {
    this->Hold(aRequest, PoisonStanding::Cleared, now + this->settings.wholeMemory);
  }
}

const PoisonGuard::Held*
PoisonGuard::Find(std::uint64_t aRequest, TimePoint aNow)
{
  const auto found = this->held.find(aRequest);
  if (found == this->held.end()) {
    return nullptr;
  }
  if (found->second.until <= aNow) {
    this->held.erase(found);
    return nullptr;
  }
  return &found->second;
}

void
PoisonGuard::Hold(std::uint64_t aRequest, PoisonStanding aStanding, TimePoint aUntil)
{
  const TimePoint now = this->clock.Now();
  const Held* known = this->Find(aRequest, now);
  if (known != nullptr && known->standing >= aStanding) {
    return;
  }
  if (known == nullptr && this->held.size() >= this->settings.maximumRequests) {
    const auto first = std::min_element(
      this->held.begin(), this->held.end(), [](const auto& aLeft, const auto& aRight) {
        return std::pair(aLeft.second.standing, aLeft.second.until) <
               std::pair(aRight.second.standing, aRight.second.until);
      });
    this->held.erase(first);
  }
  this->held[aRequest] = { aStanding, aUntil };
  if (aStanding == PoisonStanding::Cleared) {
    this->crashes.erase(aRequest);
  }
  kLog.Event(aStanding == PoisonStanding::Poisoned ? LogLevel::Warning : LogLevel::Info,
             NameOf(aStanding),
             { { "print", aRequest },
               { "for_ms", std::chrono::floor<Milliseconds>(aUntil - now).count() } });
}

void
PoisonGuard::MakeRoom(TimePoint aNow)
{
  if (this->crashes.size() < this->settings.maximumRequests) {
    return;
  }
  std::erase_if(this->crashes, [&](const auto& aEach) {
    return aNow - aEach.second.back().at > this->settings.crashMemory;
  });
  if (this->crashes.size() < this->settings.maximumRequests) {
    return;
  }
  const auto least = std::min_element(
    this->crashes.begin(), this->crashes.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.second.size(), aLeft.second.back().at) <
             std::pair(aRight.second.size(), aRight.second.back().at);
    });
  this->crashes.erase(least);
}

std::vector<PoisonNote>
PoisonGuard::Notes()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  std::erase_if(this->held, [&](const auto& aEach) { return aEach.second.until <= now; });
  std::vector<PoisonNote> notes;
  for (const auto& [request, each] : this->held) {
    const auto left = std::chrono::floor<Milliseconds>(each.until - now);
    if (left > this->settings.noteMargin) {
      notes.push_back({ request, each.standing, static_cast<std::uint32_t>(left.count()) });
    }
  }
  if (notes.size() > this->settings.maximumNotes) {
    const auto rank = [](const PoisonNote& aNote) {
      return std::pair(aNote.standing == PoisonStanding::Poisoned, aNote.expiresIn);
    };
    std::sort(notes.begin(), notes.end(), [&](const PoisonNote& aLeft, const PoisonNote& aRight) {
      return rank(aLeft) > rank(aRight);
    });
    notes.resize(this->settings.maximumNotes);
  }
  return notes;
}

void
PoisonGuard::OnNotes(std::span<const PoisonNote> aNotes)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  for (const PoisonNote& note : aNotes) {
    if (note.standing > PoisonStanding::Cleared) {
      continue;
    }
    const Milliseconds longest = note.standing == PoisonStanding::Cleared
                                   ? this->settings.wholeMemory
                                   : this->settings.poisonMemory;
    const auto left = std::min(Milliseconds(note.expiresIn), longest);
    // Whoever saw it run whole knows better
    const auto ran = this->whole.find(note.request);
    const bool isRefuted = note.standing != PoisonStanding::Cleared && ran != this->whole.end() &&
                           now - ran->second <= this->settings.wholeMemory;
    if (isRefuted) {
      this->Hold(note.request, PoisonStanding::Cleared, ran->second + this->settings.wholeMemory);
    } else {
      this->Hold(note.request, note.standing, now + left);
    }
  }
}

int
PoisonGuard::Poisoned()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  return static_cast<int>(
    std::count_if(this->held.begin(), this->held.end(), [&](const auto& aEach) {
      return aEach.second.standing == PoisonStanding::Poisoned && aEach.second.until > now;
    }));
}

} // namespace lagoonward
