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

  /// Whether one more endpoint in that domain is worth having: it serves, it survives, or it is one of
  /// several that raise the survivors together. One more where most are already raises nothing as
  /// long as no other domain can follow.
  /// @param aAvailable  failure domains in which endpoints can be added now, this one included
  [[nodiscard]] bool Helps(const std::string& aDomain, std::size_t aAvailable, int aNeeded) const;

  [[nodiscard]] int In(const std::string& aDomain) const;
  [[nodiscard]] int Total() const;

private:
  [[nodiscard]] int Most() const;

  std::map<std::string, int> counts;
};

} // namespace lagoonward
