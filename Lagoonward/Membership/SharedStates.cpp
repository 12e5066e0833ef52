#include "Lagoonward/Membership/SharedStates.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Versions before the latest whose content is retained: peers that request the latest are rarely further behind.
constexpr std::size_t kRetainedVersions = 3;

std::uint64_t
VersionHash(std::uint64_t aTopic, std::int64_t aVersion)
{
  return CombineHashes(aTopic, static_cast<std::uint64_t>(aVersion));
}

} // namespace

void
SharedStates::SetValidator(Validator aValidator)
{
  this->validator = std::move(aValidator);
}

bool
SharedStates::Publish(SharedState aState)
{
  return this->Store(std::move(aState));
}

bool
SharedStates::Adopt(SharedState aState)
{
  if (!this->IsNewer({ aState.Topic(), aState.version })) {
    return false;
  }
  if (this->validator && !this->validator(aState)) {
    return false;
  }
  return this->Store(std::move(aState));
}

bool
SharedStates::IsNewer(const VersionAnnouncement& aAnnouncement) const
{
  const SharedState* known = this->Find(aAnnouncement.topic);
  return known == nullptr || aAnnouncement.version > known->version;
}

const SharedState*
SharedStates::Find(std::uint64_t aTopic) const
{
  const auto found = this->states.find(aTopic);
  return found == this->states.end() ? nullptr : &found->second.latest;
}

StateVersion
SharedStates::VersionOf(std::uint64_t aTopic) const
{
  const auto found = this->states.find(aTopic);
  return found == this->states.end() ? StateVersion{} : found->second.version;
}

const std::string*
SharedStates::FindBytes(std::uint64_t aTopic, const StateVersion& aVersion) const
{
  const auto found = this->states.find(aTopic);
  if (found == this->states.end()) {
    return nullptr;
  }
  if (found->second.version == aVersion) {
    return &found->second.latest.bytes;
  }
  const auto& retained = found->second.retained;
  const auto earlier =
    std::find_if(retained.begin(), retained.end(),
                 [&](const RetainedVersion& aEach) { return aEach.version == aVersion; });
  return earlier == retained.end() ? nullptr : &earlier->bytes;
}

std::vector<VersionAnnouncement>
SharedStates::VersionAnnouncements(bool aWithRegional) const
{
  std::vector<VersionAnnouncement> announcements;
  for (const auto& [topic, state] : this->states) {
    if (aWithRegional || !state.latest.IsRegional()) {
      announcements.push_back({ topic, state.latest.version });
    }
  }
  return announcements;
}

std::uint64_t
SharedStates::Digest(bool aWithRegional) const
{
  return aWithRegional ? this->globalDigest ^ this->regionalDigest : this->globalDigest;
}

bool
SharedStates::Store(SharedState aState)
{
  const std::uint64_t topic = aState.Topic();
  if (!this->IsNewer({ topic, aState.version })) {
    return false;
  }
  StoredState& slot = this->states[topic];
  std::uint64_t& digest = aState.IsRegional() ? this->regionalDigest : this->globalDigest;
  // Exclusive or removes the old version and adds the new one, independent of the order of topics
  if (!slot.latest.name.empty()) {
    digest ^= VersionHash(topic, slot.latest.version);
    slot.retained.push_back({ slot.version, std::move(slot.latest.bytes) });
    if (slot.retained.size() > kRetainedVersions) {
      slot.retained.erase(slot.retained.begin());
    }
  }
  digest ^= VersionHash(topic, aState.version);
  slot.version = { aState.version, HashBytes(aState.bytes) };
  slot.latest = std::move(aState);
  return true;
}

} // namespace lagoonward
