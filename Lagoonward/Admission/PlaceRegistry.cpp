#include "Lagoonward/Admission/PlaceRegistry.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

namespace {

/// Added to the time in which a request ends, for the messages about it.
constexpr Milliseconds kLeaseMargin{ 500 };

} // namespace

PlaceRegistry::PlaceRegistry(const Clock& aClock)
  : clock(aClock)
{
}

PlaceMessage
PlaceRegistry::MakeMessage(const PlaceUse& aUse, std::uint64_t aLease, PlaceAction aAction) const
{
  const auto left = std::chrono::ceil<Milliseconds>(aUse.endsBy - this->clock.Now());
  PlaceMessage message;
  message.endpoint = aUse.endpoint;
  message.run = this->run;
  message.lease = aLease;
  message.action = aAction;
  message.places = aUse.places;
  message.leaseMs = static_cast<std::uint32_t>(
    std::clamp<std::int64_t>((left + kLeaseMargin).count(), 1, UINT32_MAX));
  return message;
}

PlaceMessage
PlaceRegistry::MakeRequest(const PlaceUse& aUse)
{
  const std::lock_guard lock(this->mutex);
  const std::uint64_t lease = CombineHashes(this->run, this->nextLease++);
  return this->MakeMessage(aUse, lease, PlaceAction::Request);
}

std::uint64_t
PlaceRegistry::Begin(const PlaceUse& aUse, std::uint64_t aGranted)
{
  const std::lock_guard lock(this->mutex);
  const std::uint64_t lease =
    aGranted != 0 ? aGranted : CombineHashes(this->run, this->nextLease++);
  this->entries[lease] = { aUse, aGranted != 0 };
  return lease;
}

std::optional<PlaceMessage>
PlaceRegistry::End(std::uint64_t aLease, PlaceAction aAction)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(aLease);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  const Entry entry = std::move(found->second);
  this->entries.erase(found);
  if (!entry.isDeclared) {
    return std::nullopt;
  }
  return this->MakeMessage(entry.use, aLease, aAction);
}

std::vector<PlaceMessage>
PlaceRegistry::Declarations(const std::function<bool(std::string_view aService)>& aIsBrittle,
                            bool aHaveOwnersChanged)
{
  const std::lock_guard lock(this->mutex);
  std::vector<PlaceMessage> messages;
  for (auto& [lease, entry] : this->entries) {
    if ((aHaveOwnersChanged || !entry.isDeclared) && aIsBrittle(entry.use.service)) {
      entry.isDeclared = true;
      messages.push_back(this->MakeMessage(entry.use, lease, PlaceAction::Declare));
    }
  }
  return messages;
}

bool
PlaceRegistry::Contains(std::uint64_t aLease)
{
  const std::lock_guard lock(this->mutex);
  return this->entries.contains(aLease);
}

void
PlaceRegistry::Block(std::string_view aEndpoint, Milliseconds aTime)
{
  const std::lock_guard lock(this->mutex);
  this->blockedUntil[std::string(aEndpoint)] = this->clock.Now() + aTime;
}

std::vector<std::string>
PlaceRegistry::BlockedEndpoints()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  std::erase_if(this->blockedUntil, [&](const auto& aEach) { return aEach.second <= now; });
  std::vector<std::string> blocked;
  for (const auto& each : this->blockedUntil) {
    blocked.push_back(each.first);
  }
  return blocked;
}

PlaceHold::PlaceHold(PlaceRegistry& aRegistry, PlaceSource& aSource, const PlaceUse& aUse,
                     std::uint64_t aGranted)
  : registry(&aRegistry)
  , source(&aSource)
  , lease(aRegistry.Begin(aUse, aGranted))
{
}

PlaceHold::PlaceHold(PlaceHold&& aOther) noexcept
  : registry(std::exchange(aOther.registry, nullptr))
  , source(aOther.source)
  , lease(aOther.lease)
{
}

PlaceHold&
PlaceHold::operator=(PlaceHold&& aOther) noexcept
{
  if (this != &aOther) {
    this->End(PlaceAction::ReleaseLater);
    this->registry = std::exchange(aOther.registry, nullptr);
    this->source = aOther.source;
    this->lease = aOther.lease;
  }
  return *this;
}

PlaceHold::~PlaceHold()
{
  this->End(PlaceAction::ReleaseLater);
}

void
PlaceHold::End(PlaceAction aAction)
{
  if (this->registry == nullptr) {
    return;
  }
  const auto message = std::exchange(this->registry, nullptr)->End(this->lease, aAction);
  if (message) {
    this->source->Notify(*message);
  }
}

} // namespace lagoonward
