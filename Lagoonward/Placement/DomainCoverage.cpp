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
DomainCoverage::CountIn(const std::string& aDomain) const
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
DomainCoverage::LargestCount() const
{
  int most = 0;
  for (const auto& [domain, count] : this->counts) {
    most = std::max(most, count);
  }
  return most;
}

int
DomainCoverage::Survivors(std::size_t aAllowedDomains) const
{
  return aAllowedDomains <= 1 ? this->Total() : this->Total() - this->LargestCount();
}

bool
DomainCoverage::IsUseful(const std::string& aDomain, std::size_t aAvailable, int aNeeded) const
{
  return this->Total() < aNeeded || this->CountIn(aDomain) < this->LargestCount() || aAvailable > 1;
}

} // namespace lagoonward
