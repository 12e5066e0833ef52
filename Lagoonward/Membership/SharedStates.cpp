#include "Lagoonward/Membership/SharedStates.h"

namespace lagoonward {

namespace {

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
  return found == this->states.end() ? nullptr : &found->second;
}

std::vector<VersionAnnouncement>
SharedStates::VersionAnnouncements(bool aWithRegional) const
{
  std::vector<VersionAnnouncement> announcements;
  for (const auto& [topic, state] : this->states) {
    if (aWithRegional || !state.IsRegional()) {
      announcements.push_back({ topic, state.version });
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
  SharedState& slot = this->states[topic];
  std::uint64_t& digest = aState.IsRegional() ? this->regionalDigest : this->globalDigest;
  // Exclusive or removes the old version and adds the new one, independent of the order of topics
  if (!slot.name.empty()) {
    digest ^= VersionHash(topic, slot.version);
  }
  digest ^= VersionHash(topic, aState.version);
  slot = std::move(aState);
  return true;
}

} // namespace lagoonward
