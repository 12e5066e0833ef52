#include "Lagoonward/Placement/DomainCoverage.h"

#include <algorithm>

namespace lagoonward {

void
DomainCoverage::Add(const std::string& aDomain)
{
  ++this->counts[aDomain];
}

void
DomainCoverage::Remove(const std::string& aDomain)
{
  --this->counts[aDomain];
}

int
DomainCoverage::In(const std::string& aDomain) const
{
  const auto found = this->counts.find(aDomain);
  return found == this->counts.end() ? 0 : found->second;
}

int
DomainCoverage::Total() const
{
  int total = 0;
  for (const auto& [domain, count] : this->counts) {
    total += count;
  }
  return total;
}

int
DomainCoverage::Survivors(std::size_t aAllowedDomains) const
{
  int worst = 0;
  for (const auto& [domain, count] : this->counts) {
    worst = std::max(worst, count);
  }
  return aAllowedDomains <= 1 ? this->Total() : this->Total() - worst;
}

} // namespace lagoonward
