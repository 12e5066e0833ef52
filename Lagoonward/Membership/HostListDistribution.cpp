#include "Lagoonward/Membership/HostListDistribution.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Wire form of a host list.
struct SharedHostList
{
  std::vector<HostEntry> hosts;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeList<std::uint16_t>(aArchive, this->hosts);
  }
};

} // namespace

template<class Archive>
void
serialize(Archive& aArchive, HostEntry& aHost)
{
  auto kind = static_cast<std::uint8_t>(aHost.kind);
  SerializeBytes<std::uint8_t>(aArchive, aHost.id);
  aArchive(kind, aHost.port, aHost.leaving);
  SerializeBytes<std::uint8_t>(aArchive, aHost.address);
  SerializeBytes<std::uint8_t>(aArchive, aHost.failureDomain);
  SerializeBytes<std::uint8_t>(aArchive, aHost.region);
  SerializeBytes<std::uint8_t>(aArchive, aHost.machineClass);
  SerializeBytes<std::uint8_t>(aArchive, aHost.name);
  if (kind > static_cast<std::uint8_t>(HostEntry::Kind::Service)) {
    throw cereal::Exception("invalid host kind");
  }
  aHost.kind = static_cast<HostEntry::Kind>(kind);
}

HostListDistribution::HostListDistribution(const Clock& aClock, std::string aRegion,
                                           const HostListSettings& aSettings)
  : clock(aClock)
  , region(std::move(aRegion))
  , settings(aSettings)
{
}

std::optional<SharedState>
HostListDistribution::OnRead(std::span<const HostEntry> aHosts)
{
  SharedHostList list;
  std::copy_if(aHosts.begin(), aHosts.end(), std::back_inserter(list.hosts),
               [this](const HostEntry& aHost) {
                 return aHost.kind == HostEntry::Kind::Daemon || aHost.region == this->region;
               });
  // The platform returns hosts in arbitrary order
  std::sort(list.hosts.begin(), list.hosts.end(),
            [](const HostEntry& aLeft, const HostEntry& aRight) { return aLeft.id < aRight.id; });
  std::string bytes = EncodeMessage(list);

  // Two readers may see lists of different age, so only a change between this daemon's own reads is published
  const std::uint64_t hash = HashBytes(bytes);
  this->hasUnpublishedChange |= hash != this->lastReadHash;
  this->lastReadHash = hash;
  if (!this->hasUnpublishedChange || hash == this->sharedHash) {
    this->hasUnpublishedChange = false;
    return std::nullopt;
  }
  const TimePoint now = this->clock.Now();
  if (this->publishedAt && now - *this->publishedAt < this->settings.publishInterval) {
    return std::nullopt;
  }
  this->hasUnpublishedChange = false;
  this->sharedHash = hash;
  this->publishedAt = now;
  return SharedState{ std::string(kName), ToUnixMilliseconds(this->clock.WallNow()),
                      std::move(bytes) };
}

Result<std::vector<HostEntry>>
HostListDistribution::ApplyShared(const SharedState& aState)
{
  auto list = DecodeMessage<SharedHostList>(aState.bytes);
  if (!list) {
    return list.error();
  }
  this->sharedHash = HashBytes(aState.bytes);
  return std::move(list.value().hosts);
}

} // namespace lagoonward
