#include "Lagoonward/Relay/StreamOriginTable.h"

#include "Lagoonward/Core/Hash.h"

namespace lagoonward {

std::uint64_t
StreamKeyOf(std::string_view aAccount, std::string_view aRequestId)
{
  constexpr std::uint64_t kAccountSeed = 1;
  constexpr std::uint64_t kRequestSeed = 2;
  return CombineHashes(HashBytes(aAccount, kAccountSeed), HashBytes(aRequestId, kRequestSeed));
}

StreamOriginTable::StreamOriginTable(const StreamOriginTableSettings& aSettings,
                                     const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
  , newerSince(aClock.Now())
{
}

void
StreamOriginTable::DropExpired()
{
  const TimePoint now = this->clock.Now();
  const Milliseconds age = std::chrono::floor<Milliseconds>(now - this->newerSince);
  if (age < this->settings.retention && this->newer.size() < this->settings.maximumRecords) {
    return;
  }
  this->older = std::exchange(this->newer, {});
  if (age >= 2 * this->settings.retention) {
    this->older.clear();
  }
  this->newerSince = now;
}

void
StreamOriginTable::Record(std::uint64_t aStream, const StreamOrigin& aOrigin)
{
  const std::lock_guard lock(this->mutex);
  this->DropExpired();
  const auto known = this->FindLocked(aStream);
  const bool isUnknown = known && known->softwareVersion == kUnknownSoftwareVersion;
  this->newer.insert_or_assign(aStream, isUnknown ? *known : aOrigin);
}

std::optional<StreamOrigin>
StreamOriginTable::Get(std::uint64_t aStream)
{
  const std::lock_guard lock(this->mutex);
  this->DropExpired();
  return this->FindLocked(aStream);
}

std::optional<StreamOrigin>
StreamOriginTable::FindLocked(std::uint64_t aStream) const
{
  for (const Generation* generation : { &this->newer, &this->older }) {
    const auto found = generation->find(aStream);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

void
StreamOriginTable::Find(const StreamOriginRequest& aRequest, StreamOriginHandler aFound)
{
  aFound({ this->Get(aRequest.stream), std::nullopt });
}

std::vector<StreamOriginTable::Entry>
StreamOriginTable::Entries()
{
  const std::lock_guard lock(this->mutex);
  this->DropExpired();
  std::vector<Entry> entries(this->newer.begin(), this->newer.end());
  for (const auto& [stream, origin] : this->older) {
    if (!this->newer.contains(stream)) {
      entries.emplace_back(stream, origin);
    }
  }
  return entries;
}

std::size_t
StreamOriginTable::Size()
{
  const std::lock_guard lock(this->mutex);
  return this->newer.size() + this->older.size();
}

} // namespace lagoonward
