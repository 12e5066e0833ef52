#include "Lagoonward/Attempts/AnswerRegistry.h"

namespace lagoonward {

AnswerRegistry::AnswerRegistry(const AttemptSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

RegistryEntry
AnswerRegistry::FindOrCreate(const std::string& aKey, std::uint64_t aBodyHash,
                             const std::function<AnswerPtr()>& aFactory)
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->entries.find(aKey);
  if (found == this->entries.end()) {
    AnswerPtr answer = aFactory();
    this->entries.emplace(aKey, Entry{ aBodyHash, answer });
    return { RegistryOutcome::Created, std::move(answer) };
  }
  if (found->second.bodyHash != aBodyHash) {
    return { RegistryOutcome::Conflict, nullptr };
  }
  return { RegistryOutcome::Joined, found->second.answer };
}

RegistryEntry
AnswerRegistry::Find(const std::string& aKey, std::uint64_t aBodyHash) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->entries.find(aKey);
  if (found == this->entries.end()) {
    return { RegistryOutcome::Created, nullptr };
  }
  if (found->second.bodyHash != aBodyHash) {
    return { RegistryOutcome::Conflict, nullptr };
  }
  return { RegistryOutcome::Joined, found->second.answer };
}

void
AnswerRegistry::OnEnded(const std::string& aKey, bool aIdempotent)
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->entries.find(aKey);
  if (found == this->entries.end()) {
    return;
  }
  // A failure after which the request may run again must not block the caller's next attempt
  const std::optional<Error>& failure = found->second.answer->Failure();
  if (failure.has_value() && (aIdempotent || failure->ran == Ran::No)) {
    this->entries.erase(found);
    return;
  }
  const std::size_t bytes = found->second.answer->ByteSize();
  this->finished.push_back(
    Finished{ aKey, this->clock.Now() + this->settings.answerLifetime, bytes });
  this->finishedBytes += bytes;
  while (this->finishedBytes > this->settings.answerBytes && this->finished.size() > 1) {
    this->RemoveOldestLocked();
  }
}

void
AnswerRegistry::RemoveExpired()
{
  const std::scoped_lock lock(this->mutex);
  const TimePoint now = this->clock.Now();
  while (!this->finished.empty() && this->finished.front().expires <= now) {
    this->RemoveOldestLocked();
  }
}

std::size_t
AnswerRegistry::Size() const
{
  const std::scoped_lock lock(this->mutex);
  return this->entries.size();
}

void
AnswerRegistry::RemoveOldestLocked()
{
  this->finishedBytes -= this->finished.front().bytes;
  this->entries.erase(this->finished.front().key);
  this->finished.pop_front();
}

} // namespace lagoonward
