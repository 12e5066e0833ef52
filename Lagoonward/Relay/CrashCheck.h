#pragma once

#include "Lagoonward/Admission/PoisonGuard.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Finds out whether an endpoint whose connection broke has died: a connection breaks for many reasons, and one that still
/// takes new ones lives. One look for all that it had here, without sending anything. Lives on one TrafficLoop.
class CrashCheck
{
public:
  /// References must outlive it.
  CrashCheck(TrafficLoop& aLoop, PoisonGuard& aGuard);
  ~CrashCheck();
  CrashCheck(const CrashCheck&) = delete;
  CrashCheck& operator=(const CrashCheck&) = delete;

  /// A connection broke under a request.
  /// @param aAddress  the endpoint's, `IP:PORT`
  /// @param aKnown    called once it is known, and the guard was told of a crash; empty for nobody waits
  void OnConnectionLost(const std::string& aAddress, const CrashReport& aReport,
                        std::function<void()> aKnown);

private:
  class Look;

  /// @param aIsDead  whether the endpoint refuses connections
  void OnLooked(const std::string& aAddress, bool aIsDead);

  TrafficLoop& loop;
  PoisonGuard& guard;
  std::unordered_map<std::string, std::unique_ptr<Look>> looks; ///< By address.
};

} // namespace lagoonward
