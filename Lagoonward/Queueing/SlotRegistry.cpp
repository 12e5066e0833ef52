#include "Lagoonward/Queueing/SlotRegistry.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

SlotRegistry::SlotRegistry(const Clock& aClock)
  : clock(aClock)
{
}

void
SlotRegistry::Identify(SlotMessage& aRequest)
{
  const std::lock_guard lock(this->mutex);
  aRequest.run = this->run;
  aRequest.lease = CombineHashes(this->run, this->nextLease++);
}

void
SlotRegistry::Begin(const SlotMessage& aRequest, std::uint64_t aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  Entry entry{ aRequest, now, now + Milliseconds(aRequest.leaseMs) };
  entry.message.action = SlotAction::Declare;
  entry.message.endpoint = aEndpoint;
  entry.message.excluded.clear();
  this->entries[aRequest.lease] = std::move(entry);
}

std::optional<SlotMessage>
SlotRegistry::End(std::uint64_t aLease, SlotAction aAction)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(aLease);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  SlotMessage message = std::move(found->second.message);
  message.action = aAction;
  const auto held = std::chrono::ceil<Milliseconds>(this->clock.Now() - found->second.begunAt);
  message.heldMs = static_cast<std::uint32_t>(std::max<std::int64_t>(held.count(), 1));
  this->entries.erase(found);
  return message;
}

std::vector<SlotMessage>
SlotRegistry::Declarations() const
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  std::vector<SlotMessage> messages;
  messages.reserve(this->entries.size());
  for (const auto& [lease, entry] : this->entries) {
    const auto left = std::chrono::ceil<Milliseconds>(entry.endsBy - now).count();
    messages.push_back(entry.message);
    messages.back().leaseMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
  }
  return messages;
}

std::size_t
SlotRegistry::InFlight() const
{
  const std::lock_guard lock(this->mutex);
  return this->entries.size();
}

SlotHold::SlotHold(SlotRegistry& aRegistry, SlotSource& aSource, const SlotMessage& aRequest,
                   std::uint64_t aEndpoint)
  : registry(&aRegistry)
  , source(&aSource)
  , lease(aRequest.lease)
{
  aRegistry.Begin(aRequest, aEndpoint);
}

SlotHold::SlotHold(SlotHold&& aOther) noexcept
  : registry(std::exchange(aOther.registry, nullptr))
  , source(aOther.source)
  , lease(aOther.lease)
{
}

SlotHold&
SlotHold::operator=(SlotHold&& aOther) noexcept
{
  if (this != &aOther) {
    this->End(SlotAction::Abandon);
    this->registry = std::exchange(aOther.registry, nullptr);
    this->source = aOther.source;
    this->lease = aOther.lease;
  }
  return *this;
}

SlotHold::~SlotHold()
{
  this->End(SlotAction::Abandon);
}

void
SlotHold::End(SlotAction aAction)
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
