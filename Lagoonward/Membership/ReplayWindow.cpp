#include "Lagoonward/Membership/ReplayWindow.h"

namespace lagoonward {

namespace {
constexpr std::uint32_t kWindowBits = 64;
}

bool
ReplayWindow::Accept(std::uint32_t aSequence)
{
  // Sequence numbers start at 1
  if (aSequence == 0) {
    return false;
  }
  if (aSequence > this->highest) {
    const std::uint32_t step = aSequence - this->highest;
    this->received = step >= kWindowBits ? 0 : this->received << step;
    this->received |= 1U;
    this->highest = aSequence;
    return true;
  }
  const std::uint32_t distance = this->highest - aSequence;
  if (distance >= kWindowBits) {
    return false;
  }
  const std::uint64_t bit = std::uint64_t{ 1 } << distance;
  const bool isNew = (this->received & bit) == 0;
  this->received |= bit;
  return isNew;
}

bool
ReplayGuard::Accept(PeerKey aSender, std::uint64_t aSession, std::uint32_t aSequence,
                    TimePoint aNow)
{
  Entry& entry = this->entries[aSender];
  if (aSession < entry.session) {
    return false;
  }
  if (aSession > entry.session) {
    entry.session = aSession;
    entry.window = ReplayWindow();
  }
  if (!entry.window.Accept(aSequence)) {
    return false;
  }
  entry.lastContact = aNow;
  return true;
}

void
ReplayGuard::EvictBefore(TimePoint aBefore)
{
  std::erase_if(this->entries,
                [&](const auto& aItem) { return aItem.second.lastContact < aBefore; });
}

} // namespace lagoonward
