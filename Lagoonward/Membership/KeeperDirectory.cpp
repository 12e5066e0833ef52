#include "Lagoonward/Membership/KeeperDirectory.h"

namespace lagoonward {

KeeperDirectory::KeeperDirectory(PeerInfo aSelf, const Clock& aClock)
  : self(std::move(aSelf))
  , clock(aClock)
  , plan(this->self, true, this->view)
  , daemonsChangedAt(aClock.Now())
{
}

void
KeeperDirectory::OnPeers(const PeerView& aView)
{
  const std::lock_guard lock(this->mutex);
  this->view = aView;
  KeeperPlan nextPlan(this->self, !this->draining, this->view);
  if (!nextPlan.HasSameDaemons(this->plan)) {
    this->daemonsChangedAt = this->clock.Now();
  }
  this->plan = std::move(nextPlan);
}

bool
KeeperDirectory::IsSettled(Milliseconds aDuration)
{
  const std::lock_guard lock(this->mutex);
  return this->clock.Now() - this->daemonsChangedAt >= aDuration;
}

void
KeeperDirectory::Drain()
{
  const std::lock_guard lock(this->mutex);
  this->draining = true;
  this->plan = KeeperPlan(this->self, false, this->view);
}

KeeperRole
KeeperDirectory::RoleOf(std::uint64_t aKey)
{
  const std::lock_guard lock(this->mutex);
  const Keepers& owners = this->plan.KeepersOf(aKey);
  if (owners.primary && owners.primary->key == this->self.Key()) {
    return KeeperRole::Primary;
  }
  const bool isBackup = owners.backup && owners.backup->key == this->self.Key();
  return isBackup ? KeeperRole::Backup : KeeperRole::None;
}

std::vector<PeerAddress>
KeeperDirectory::OthersFor(std::uint64_t aKey)
{
  const std::lock_guard lock(this->mutex);
  const Keepers& owners = this->plan.KeepersOf(aKey);
  std::vector<PeerAddress> others;
  for (const auto& owner : { owners.primary, owners.backup }) {
    if (owner && owner->key != this->self.Key()) {
      others.push_back(*owner);
    }
  }
  return others;
}

} // namespace lagoonward
