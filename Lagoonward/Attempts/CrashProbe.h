#pragma once

#include "Lagoonward/Admission/PoisonRequestFilter.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// A crash report and the filter that counts it.
struct CrashEvidence
{
  PoisonRequestFilter* filter = nullptr;
  CrashReport report;
};

struct CrashProbeSettings
{
  /// How long after an accepted connection attempt the next one follows: the kernel closes the connections of a process
  /// that ends before its listening socket, and accepts new connections between the two. On a busy host that takes some
  /// milliseconds.
  Milliseconds repeatDelay{ 20 };

  /// Longest wait for the result: an endpoint that refuses connections does so within a few milliseconds.
  Milliseconds waitTimeout{ 50 };
};

/// Determines whether an endpoint has crashed after a connection to it broke. Connections break for many reasons;
/// an endpoint that still accepts new connections after a short time has not crashed. All broken connections to an
/// endpoint on this loop share one check: a connection attempt and, if it is accepted, a second one. No data is sent.
/// Used on one TrafficLoop only.
class CrashProbe
{
public:
  /// The loop must outlive this object.
  explicit CrashProbe(TrafficLoop& aLoop, const CrashProbeSettings& aSettings = {});
  ~CrashProbe();
  CrashProbe(const CrashProbe&) = delete;
  CrashProbe& operator=(const CrashProbe&) = delete;

  /// Handles a connection that broke while a request used it.
  /// @param aEvidence  reported if the endpoint has crashed; the filters must outlive this object
  /// @param aAddress  address of the endpoint, `IP:PORT`
  /// @param aOnKnown  called once: when the result is known and a crash has been reported, or when the
  ///                  result does not arrive in time, because a connection attempt may hang without being refused
  void OnConnectionLost(const std::string& aAddress, std::vector<CrashEvidence> aEvidence,
                        std::function<void()> aOnKnown);

  /// Finds out whether an endpoint has terminated.
  /// @param aOnKnown  called once with whether it refuses connections; false if that is not known in time
  void CheckTerminated(const std::string& aAddress, std::function<void(bool aIsDead)> aOnKnown);

private:
  class Check;

  [[nodiscard]] Check& CheckOf(const std::string& aAddress);
  /// @param aIsDead  whether the endpoint refused a connection
  void OnCheckEnded(const std::string& aAddress, bool aIsDead);

  TrafficLoop& loop;
  CrashProbeSettings settings;
  std::unordered_map<std::string, std::unique_ptr<Check>> checks; ///< By address.
};

} // namespace lagoonward
