#include "Lagoonward/Membership/KeyOwnerDirectory.h"

namespace lagoonward {

KeyOwnerDirectory::KeyOwnerDirectory(PeerInfo aSelf, const Clock& aClock)
  : self(std::move(aSelf))
  , clock(aClock)
  , plan(this->self, true, this->view)
  , daemonsChangedAt(aClock.Now())
{
}

void
KeyOwnerDirectory::OnPeers(const PeerView& aView)
{
  const std::lock_guard lock(this->mutex);
  this->view = aView;
  KeyOwnerPlan nextPlan(this->self, !this->draining, this->view);
  if (!nextPlan.HasSameDaemons(this->plan)) {
    this->daemonsChangedAt = this->clock.Now();
  }
  this->plan = std::move(nextPlan);
}

bool
KeyOwnerDirectory::IsStableFor(Milliseconds aDuration)
{
  const std::lock_guard lock(this->mutex);
  return this->clock.Now() - this->daemonsChangedAt >= aDuration;
}

void
KeyOwnerDirectory::Drain()
{
  const std::lock_guard lock(this->mutex);
  this->draining = true;
  this->plan = KeyOwnerPlan(this->self, false, this->view);
}

KeyOwnerRole
KeyOwnerDirectory::RoleOf(std::uint64_t aKey)
{
  const std::lock_guard lock(this->mutex);
  const KeyOwners& owners = this->plan.OwnersOf(aKey);
  if (owners.primary && owners.primary->key == this->self.Key()) {
    return KeyOwnerRole::Primary;
  }
  const bool isBackup = owners.backup && owners.backup->key == this->self.Key();
  return isBackup ? KeyOwnerRole::Backup : KeyOwnerRole::None;
}

std::vector<PeerAddress>
KeyOwnerDirectory::OtherOwnersOf(std::uint64_t aKey)
{
  const std::lock_guard lock(this->mutex);
  const KeyOwners& owners = this->plan.OwnersOf(aKey);
  std::vector<PeerAddress> others;
  for (const auto& owner : { owners.primary, owners.backup }) {
    if (owner && owner->key != this->self.Key()) {
      others.push_back(*owner);
    }
  }
  return others;
}

} // namespace lagoonward
