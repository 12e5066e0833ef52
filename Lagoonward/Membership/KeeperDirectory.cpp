#include "Lagoonward/Membership/KeeperDirectory.h"

namespace lagoonward {

KeeperDirectory::KeeperDirectory(PeerInfo aSelf, const Clock& aClock)
  : self(std::move(aSelf))
  , clock(aClock)
  , plan(this->self, true, this->view)
  , changedAt(aClock.Now())
{
}

void
KeeperDirectory::OnPeers(const PeerView& aView)
{
  const std::lock_guard lock(this->mutex);
  this->view = aView;
  KeeperPlan next(this->self, !this->draining, this->view);
  if (!next.HasSameDaemons(this->plan)) {
    this->changedAt = this->clock.Now();
  }
  this->plan = std::move(next);
}

bool
KeeperDirectory::IsSettled(Milliseconds aFor)
{
  const std::lock_guard lock(this->mutex);
  return this->clock.Now() - this->changedAt >= aFor;
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
  const Keepers& keepers = this->plan.KeepersOf(aKey);
  if (keepers.primary && keepers.primary->key == this->self.Key()) {
    return KeeperRole::Primary;
  }
  const bool isBackup = keepers.backup && keepers.backup->key == this->self.Key();
  return isBackup ? KeeperRole::Backup : KeeperRole::None;
}

std::vector<PeerAddress>
KeeperDirectory::OthersFor(std::uint64_t aKey)
{
  const std::lock_guard lock(this->mutex);
  const Keepers& keepers = this->plan.KeepersOf(aKey);
  std::vector<PeerAddress> others;
  for (const auto& keeper : { keepers.primary, keepers.backup }) {
    if (keeper && keeper->key != this->self.Key()) {
      others.push_back(*keeper);
    }
  }
  return others;
}

} // namespace lagoonward
