#include "Lagoonward/Admission/BrittleServices.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("limits");

/// Stands for the endpoints of which other daemons have received answers.
constexpr std::uint64_t kOtherDaemons = 0;

} // namespace

BrittleServices::BrittleServices(const BrittleServiceSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
BrittleServices::OnBrittleAnswer(std::string_view aService, std::string_view aEndpoint,
                                 double aTolerated)
{
  const std::lock_guard lock(this->mutex);
  this->Expire();
  AnswerTimes* answers = this->FindOrCreate(HashBytes(aService));
  if (answers == nullptr) {
    return;
  }
  const bool isNew = answers->insert_or_assign(HashBytes(aEndpoint), this->clock.Now()).second;
  if (isNew) {
    kLog.Event("endpoint_brittle",
               { { "service", aService }, { "endpoint", aEndpoint }, { "tolerated", aTolerated } });
  }
}

void
BrittleServices::OnSoundAnswer(std::string_view aService, std::string_view aEndpoint,
                               TimePoint aSentAt)
{
  const std::lock_guard lock(this->mutex);
  if (this->services.empty()) {
    return;
  }
  const auto service = this->services.find(HashBytes(aService));
  if (service == this->services.end()) {
    return;
  }
  const auto answer = service->second.find(HashBytes(aEndpoint));
  if (answer != service->second.end() && aSentAt >= answer->second) {
    service->second.erase(answer);
    kLog.Event("endpoint_sound", { { "service", aService }, { "endpoint", aEndpoint } });
  }
}

void
BrittleServices::OnMalformedAnswer(std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  if (!std::exchange(this->isMalformedLogged, true)) {
    kLog.Event(LogLevel::Warning, "endpoint_brittle_malformed", { { "endpoint", aEndpoint } });
  }
}

bool
BrittleServices::IsBrittle(std::string_view aService)
{
  const std::lock_guard lock(this->mutex);
  if (this->services.empty()) {
    return false;
  }
  this->Expire();
  return this->services.contains(HashBytes(aService));
}

int
BrittleServices::Count()
{
  const std::lock_guard lock(this->mutex);
  this->Expire();
  return static_cast<int>(this->services.size());
}

std::vector<BrittleReport>
BrittleServices::Reports()
{
  const std::lock_guard lock(this->mutex);
  this->Expire();
  std::vector<BrittleReport> reports;
  for (const auto& [service, answers] : this->services) {
    const auto newest =
      std::max_element(answers.begin(), answers.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    const auto age = std::chrono::ceil<Milliseconds>(this->clock.Now() - newest->second);
    reports.push_back({ service, static_cast<std::uint32_t>(age.count()) });
  }
  return reports;
}

void
BrittleServices::OnReports(std::span<const BrittleReport> aReports)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  for (const BrittleReport& report : aReports) {
    if (Milliseconds(report.age) > this->settings.retention) {
      continue;
    }
    if (AnswerTimes* answers = this->FindOrCreate(report.service)) {
      TimePoint& newest = answers->try_emplace(kOtherDaemons, TimePoint::min()).first->second;
      newest = std::max(newest, now - Milliseconds(report.age));
    }
  }
}

BrittleServices::AnswerTimes*
BrittleServices::FindOrCreate(std::uint64_t aService)
{
  const auto found = this->services.find(aService);
  if (found != this->services.end()) {
    return &found->second;
  }
  const bool hasRoom = this->services.size() < this->settings.maximumServices;
  return hasRoom ? &this->services[aService] : nullptr;
}

void
BrittleServices::Expire()
{
  const TimePoint oldest = this->clock.Now() - this->settings.retention;
  for (auto& [service, answers] : this->services) {
    std::erase_if(answers, [&](const auto& aEach) { return aEach.second < oldest; });
  }
  std::erase_if(this->services, [](const auto& aEach) { return aEach.second.empty(); });
}

} // namespace lagoonward
