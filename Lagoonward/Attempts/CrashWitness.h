#pragma once

#include "Lagoonward/Attempts/CrashCheck.h"
#include "Lagoonward/Core/Error.h"
#include "Lagoonward/Fleet/FleetStore.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoonward {

/// What one run has to do with crashes: whether its request may be sent at all, and what it saw of its endpoints' ends.
/// Lives on the run's TrafficLoop and goes with it.
class CrashWitness
{
public:
  /// References must outlive it.
  /// @param aRequest  names what is asked, the same each time that its account asks it
  CrashWitness(std::uint64_t aRequest, PoisonGuard& aGuard, CrashCheck& aCheck,
               const FleetStore& aFleet, const Clock& aClock);

  [[nodiscard]] bool IsPoisoned() { return this->guard.IsPoisoned(this->request); }
  [[nodiscard]] bool IsSuspect() { return this->guard.IsSuspect(this->request); }

  /// The error for a request that must not be sent.
  [[nodiscard]] static Error PoisonError(Ran aRan);

  /// An attempt at an endpoint begins.
  void OnSent(const Endpoint& aEndpoint);

  /// Part of the answer has come.
  void OnProgress() { this->hasBegun = true; }

  /// The endpoint has answered whole.
  void OnWhole() { this->guard.OnWhole(this->request); }

  /// The endpoint has started anew since.
  void OnRestarted();

  /// The connection to the endpoint broke.
  /// @param aKnown  called on the loop, at once or later, when it is known whether it has died; not after this is gone
  void OnConnectionLost(std::function<void()> aKnown = [] {});

private:
  /// Whether the endpoint's end was none that had been announced.
  [[nodiscard]] bool WasLive() const;
  [[nodiscard]] CrashReport MakeReport() const;

  std::uint64_t request;
  PoisonGuard& guard;
  CrashCheck& check;
  const FleetStore& fleet;
  const Clock& clock;
  std::shared_ptr<bool> life =
    std::make_shared<bool>(true); ///< Gone with this, for what comes later.
  std::string endpointId;         ///< Of the newest attempt, like all that follows.
  std::string address;            ///< `IP:PORT`.
  std::uint64_t endpoint = 0;     ///< Names its life; see EndpointKeyOf().
  std::uint64_t domain = 0;       ///< Hash of its failure domain.
  TimePoint sentAt;
  bool hasBegun = false; ///< Part of the answer has come.
};

} // namespace lagoonward
