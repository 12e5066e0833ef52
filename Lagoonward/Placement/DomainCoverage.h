#pragma once

#include <map>
#include <string>

namespace lagoonward {

/// How many endpoints serve one thing, by failure domain.
class DomainCoverage
{
public:
  void Add(const std::string& aDomain);
  void Remove(const std::string& aDomain);

  /// Endpoints left after the worst loss of one failure domain. Where the manifest allows only one
  /// domain its loss cannot be survived, and all endpoints count.
  [[nodiscard]] int Survivors(std::size_t aAllowedDomains) const;

  [[nodiscard]] int In(const std::string& aDomain) const;
  [[nodiscard]] int Total() const;

private:
  std::map<std::string, int> counts;
};

} // namespace lagoonward
