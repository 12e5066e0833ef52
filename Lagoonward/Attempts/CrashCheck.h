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
  /// The loop must outlive it.
  explicit CrashCheck(TrafficLoop& aLoop);
  ~CrashCheck();
  CrashCheck(const CrashCheck&) = delete;
  CrashCheck& operator=(const CrashCheck&) = delete;

  /// A connection broke under a request.
  /// @param aGuard    is told of a crash; outlives this
  /// @param aAddress  the endpoint's, `IP:PORT`
  /// @param aKnown    called once it is known, and the guard was told of a crash, or cannot be known soon: where
  ///                  connections hang nobody refuses them
  void OnConnectionLost(PoisonGuard& aGuard, const std::string& aAddress,
                        const CrashReport& aReport, std::function<void()> aKnown);

private:
  class Look;

  /// @param aIsDead  whether the endpoint refuses connections
  void OnLooked(const std::string& aAddress, bool aIsDead);

  TrafficLoop& loop;
  std::unordered_map<std::string, std::unique_ptr<Look>> looks; ///< By address.
};

} // namespace lagoonward
