#pragma once

#include "Lagoonward/Membership/KeyOwnerDirectory.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Tunables of queries to key owners.
struct KeyOwnerQuerySettings
{
  /// Wait for one owner's response before the next owner is asked: some ten times a round trip between failure domains.
  Milliseconds fallbackDelay{ 150 };

  /// Timeout of the message itself. It is longer than `fallbackDelay`, since a timeout closes the connection with
  /// everything else that it carries.
  Milliseconds timeout{ 800 };

  /// An owner that did not respond is asked last for this long.
  Milliseconds deprioritizedFor{ 1000 };
};

/// Outcome of one owner's response.
enum class KeyOwnerResponseStatus
{
  Completed, ///< The query is completed; no other owner is asked.
  AskNext,   ///< Valid, but another owner may have a better response.
  Malformed, ///< The response cannot be decoded.
};

/// One request to the owners of a key.
struct KeyOwnerRequest
{
  std::uint64_t key = 0;
  std::string message;

  /// Handles a response. On the control thread; also called for a response that arrives after the next owner was asked
  /// or the query was completed (`aIsLate`).
  std::function<KeyOwnerResponseStatus(std::string_view aResponse, bool aIsLate)> onResponse;

  /// Called once, on the control thread, when a response completes the query or no owner remains.
  std::function<void()> onCompleted;
};

/// Asks the owners of a key, the primary first. The backup is asked where the primary's response does not complete the
/// query, or does not arrive in time.
class KeyOwnerQuery
{
public:
  /// References must outlive it.
  KeyOwnerQuery(const KeyOwnerQuerySettings& aSettings, RequestType aType,
                KeyOwnerDirectory& aOwners, MembershipService& aMembership, const Clock& aClock);

  /// Starts a query. Any thread.
  void Start(KeyOwnerRequest aRequest);

private:
  /// State of one query, from its first owner to its last.
  struct Query
  {
    KeyOwnerRequest request;
    std::vector<PeerAddress> remaining; ///< Owners not yet asked, the next one at the back.
    bool isPending = true;
    std::uint64_t askedCount = 0; ///< Owners asked so far.
  };

  using QueryPtr = std::shared_ptr<Query>;

  [[nodiscard]] std::vector<PeerAddress> OwnersFor(std::uint64_t aKey);
  void AskNext(const QueryPtr& aQuery);
  void HandleResponse(const QueryPtr& aQuery, std::uint64_t aAskedCount, PeerKey aOwner,
                      const Result<std::string>& aResponse);
  void SetUnresponsive(PeerKey aOwner, bool aIsUnresponsive);
  static void Complete(const QueryPtr& aQuery);

  KeyOwnerQuerySettings settings;
  RequestType type;
  KeyOwnerDirectory& owners;
  MembershipService& membership;
  const Clock& clock;
  std::unordered_map<PeerKey, TimePoint>
    lastFailureAt; ///< When an owner last failed to respond. Control thread only.
};

} // namespace lagoonward
