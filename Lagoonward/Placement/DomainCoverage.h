#pragma once

#include <map>
#include <string>

namespace lagoonward {

/// Number of endpoints that serve a model version, by failure domain.
class DomainCoverage
{
public:
  void Add(const std::string& aDomain);
  void Remove(const std::string& aDomain);

  /// Number of endpoints that remain after the loss of the failure domain with the most. If the manifest
  /// allows only one domain, its loss cannot be survived, and all endpoints count.
  [[nodiscard]] int Survivors(std::size_t aAllowedDomains) const;

  /// Whether one more endpoint in that domain is useful: the total is too low, it raises the number of
  /// survivors, or it does so together with endpoints added in other domains. In the domain with the most
  /// endpoints it does not raise the survivors unless another domain can also get endpoints.
  /// @param aAvailable  number of failure domains in which endpoints can be added now, including this one
  [[nodiscard]] bool IsUseful(const std::string& aDomain, std::size_t aAvailable,
                              int aNeeded) const;

  [[nodiscard]] int CountIn(const std::string& aDomain) const;
  [[nodiscard]] int Total() const;

private:
  [[nodiscard]] int LargestCount() const;

  std::map<std::string, int> counts;
};

} // namespace lagoonward
