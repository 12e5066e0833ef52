#pragma once

#include "Lagoonward/Attempts/CrashProbe.h"
#include "Lagoonward/Core/Error.h"
#include "Lagoonward/Fleet/FleetStore.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoonward {

/// The prompt parts of a request that other requests may share, and the filter that counts their crashes.
struct SharedParts
{
  PoisonRequestFilter* filter = nullptr; ///< Null if parts are not counted.
  std::vector<std::uint64_t> keys;       ///< One for each part.
};

/// Connects one run to the poison request filter: tells whether the run's request may be sent, and reports crashes
/// of the endpoints that it was sent to. Used on the run's TrafficLoop only; owned by the run.
class RunCrashTracker
{
public:
  /// The referenced objects must outlive this one.
  /// @param aRequest  hash of the request; equal for repeated requests of its client account
  RunCrashTracker(std::uint64_t aRequest, PoisonRequestFilter& aFilter, CrashProbe& aCrashProbe,
                  const FleetStore& aFleet, const Clock& aClock, SharedParts aParts = {});

  /// Whether the request, or one of its parts, must not be sent.
  [[nodiscard]] bool IsPoisoned();
  [[nodiscard]] bool IsSuspect() { return this->filter.IsSuspect(this->request); }

  /// The error for a request that must not be sent.
  [[nodiscard]] static Error PoisonError(Ran aRan);

  /// An attempt at an endpoint starts.
  void OnSent(const Endpoint& aEndpoint);

  /// Part of the answer has arrived.
  void OnProgress();

  /// The request completed successfully.
  /// @param aHadContent  whether the answer had content, which proves its parts harmless
  void OnRequestCompleted(bool aHadContent = true);

  /// The endpoint has restarted since the attempt.
  void OnRestarted();

  /// The connection to the endpoint broke.
  /// @param aOnKnown  called on the loop, at once or later, when it is known whether the endpoint has crashed; not
  ///                  called after this object has been destroyed
  void OnConnectionLost(std::function<void()> aOnKnown = [] {});

private:
  /// Whether the fleet has the endpoint and its end was not announced: it is not in the state Leaving.
  [[nodiscard]] bool WasEndpointLive() const;
  [[nodiscard]] CrashReport MakeReport(std::uint64_t aKey) const;
  /// A report for the request and one for each of its parts.
  [[nodiscard]] std::vector<CrashEvidence> MakeEvidence() const;
  /// Other parts of the request that are not known to be harmless.
  [[nodiscard]] CompanionKeys CompanionsOf(std::uint64_t aPart) const;
  void ProveParts();

  std::uint64_t request;
  PoisonRequestFilter& filter;
  CrashProbe& crashProbe;
  const FleetStore& fleet;
  const Clock& clock;
  SharedParts parts;
  bool arePartsProven = false; ///< An endpoint has answered with them.
  std::shared_ptr<bool> lifetimeToken =
    std::make_shared<bool>(true); ///< Expires with this object; checked by later callbacks.
  std::string endpointId;         ///< Of the newest attempt, like the members below.
  std::string address;            ///< `IP:PORT`.
  std::uint64_t endpoint = 0;     ///< Identifies one instance of the endpoint; see EndpointKeyOf().
  std::uint64_t domain = 0;       ///< Hash of its failure domain.
  TimePoint sentAt;
  int progress = 0; ///< Parts of the answer that have arrived.
};

} // namespace lagoonward
