#include "Lagoonward/Attempts/DecisionJournal.h"

namespace lagoonward {

DecisionJournal::DecisionJournal(std::size_t aMaximumRequests, const Clock& aClock)
  : maximumRequests(aMaximumRequests)
  , clock(aClock)
{
}

void
DecisionJournal::Record(const Log& aLog, const std::string& aRequestId, std::string aText)
{
  aLog.Info("Request {}: {}", aRequestId, aText);
  const std::scoped_lock lock(this->mutex);
  const auto [entry, isNew] = this->decisions.try_emplace(aRequestId);
  entry->second.push_back(Decision{ this->clock.WallNow(), std::move(aText) });
  if (!isNew) {
    return;
  }
  this->order.push_back(aRequestId);
  if (this->order.size() > this->maximumRequests) {
    this->decisions.erase(this->order.front());
    this->order.pop_front();
  }
}

std::vector<Decision>
DecisionJournal::Find(const std::string& aRequestId) const
{
  const std::scoped_lock lock(this->mutex);
  const auto found = this->decisions.find(aRequestId);
  return found == this->decisions.end() ? std::vector<Decision>{} : found->second;
}

} // namespace lagoonward
