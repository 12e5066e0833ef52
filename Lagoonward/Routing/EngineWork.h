#pragma once

#include <functional>
#include <map>
#include <string>

namespace lagoonward {

/// What callers ask of one service's endpoints, in units that hold whatever the endpoints' speed.
struct EngineWork
{
  double promptTokens = 0; ///< To be read: those that are not expected in a cache.
  double outputTokens = 0; ///< To be made.
  double calls = 0;        ///< Of plain services.

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

/// Work by service.
using WorkByService = std::map<std::string, EngineWork, std::less<>>;

} // namespace lagoonward
