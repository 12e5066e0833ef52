#pragma once

#include "Lagoonward/Admission/PoisonRequestFilter.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"
#include "Lagoonward/Membership/KeyOwnerDirectory.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <deque>
#include <vector>

namespace lagoonward {

/// Tunables of the exchange of crash reports.
struct CrashExchangeSettings
{
  PeerRequest message = PeerRequest::CrashReport; ///< Type of the messages.
  Milliseconds timeout{ 800 };                    ///< For one message.
  Milliseconds retryDelay{ 300 };                 ///< Before an unanswered message is sent again.
  int maximumAttempts = 5;                        ///< Messages to one key owner.

  /// Crashes observed by this daemon that are retained, so that they can be sent to new key owners. The oldest is
  /// evicted first.
  std::size_t maximumRetained = 256;
};

/// Reports each endpoint that was lost while it had a request to the owners of that request's key, and applies the
/// reports of other daemons about keys that this daemon owns. A crash takes one message to each of two owners, whatever
/// the number of daemons. The owners' verdicts reach all daemons with the LoadExchange. Runs on the control thread.
class CrashExchange
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  CrashExchange(const CrashExchangeSettings& aSettings, KeyOwnerDirectory& aOwners,
                MembershipService& aMembership, PoisonRequestFilter& aPoisonFilter,
                const Clock& aClock);

  /// Key ownership may have changed: sends the retained crashes to owners that were not sent them yet. On the control
  /// thread.
  void OnKeyOwnersChanged();

private:
  /// A crash that this daemon observed, and the owners that were sent it.
  struct ObservedCrash
  {
    CrashReport report;
    TimePoint observedAt;
    std::vector<PeerKey> notified;
  };

  void AddCrash(const CrashReport& aReport);
  void NotifyOwners(ObservedCrash& aCrash);
  void SendReport(const PeerAddress& aOwner, const CrashReport& aReport, TimePoint aObservedAt,
                  int aAttemptsLeft);

  CrashExchangeSettings settings;
  KeyOwnerDirectory& owners;
  MembershipService& membership;
  PoisonRequestFilter& poisonFilter;
  const Clock& clock;
  std::deque<ObservedCrash> observed; ///< Ordered by time, the oldest first.
};

} // namespace lagoonward
