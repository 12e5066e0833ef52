#pragma once

#include <functional>
#include <map>
#include <string>

namespace lagoonward {

/// Amount of work requested from the endpoints of one service, in units that do not depend on endpoint speed.
struct EngineWork
{
  double promptTokens = 0; ///< Prompt tokens that are not expected in a prefix cache.
  double outputTokens = 0; ///< Tokens to be generated.
  double calls = 0;        ///< Calls of plain services.

  EngineWork& operator+=(const EngineWork& aOther)
  {
    this->promptTokens += aOther.promptTokens;
    this->outputTokens += aOther.outputTokens;
    this->calls += aOther.calls;
    return *this;
  }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->promptTokens, this->outputTokens, this->calls);
  }
};

[[nodiscard]] inline EngineWork
operator-(const EngineWork& aLeft, const EngineWork& aRight)
{
  return { aLeft.promptTokens - aRight.promptTokens, aLeft.outputTokens - aRight.outputTokens,
           aLeft.calls - aRight.calls };
}

[[nodiscard]] inline EngineWork
operator*(const EngineWork& aWork, double aFactor)
{
  return { aWork.promptTokens * aFactor, aWork.outputTokens * aFactor, aWork.calls * aFactor };
}

/// Work by service name.
using WorkByService = std::map<std::string, EngineWork, std::less<>>;

} // namespace lagoonward
