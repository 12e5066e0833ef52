#pragma once

#include "Lagoonward/Admission/Admission.h"
#include "Lagoonward/Admission/LimitTokenSource.h"
#include "Lagoonward/Daemon/KeyOwnerQuery.h"

namespace lagoonward {

/// The role of this daemon for the reserves of a key.
[[nodiscard]] ReserveRole
ReserveRoleOf(KeyOwnerDirectory& aOwners, std::uint64_t aKey);

/// Requests tokens of clients' limits from the daemons that own the reserves (KeyOwnerDirectory), and grants tokens
/// from the reserves that this daemon owns. The primary reserve is asked first, the backup where the primary refuses or
/// does not respond in time. A grant that arrives late is credited, so that a later request can use it.
class LimitTokenExchange final : public LimitTokenSource
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  LimitTokenExchange(const KeyOwnerQuerySettings& aSettings, KeyOwnerDirectory& aOwners,
                     MembershipService& aMembership, Admission& aAdmission, const Clock& aClock);

  /// The ownership of reserves may have changed. Any thread.
  void OnKeyOwnersChanged();

  void RequestTokens(const LimitTokenRequest& aRequest, std::function<void()> aSettled) override;
  void ReportOverdraft(const LimitTokenRequest& aRequest) override;

private:
  /// Responses to one token request so far.
  struct Progress
  {
    bool isGranted = false;
    bool isRefused = false;
  };

  /// Responds to a request of another daemon.
  [[nodiscard]] std::string HandleRequest(std::string_view aBytes, LimitTokenUse aUse);
  /// Sends a request to the owners of the reserves, the primary first.
  void Send(KeyOwnerQuery& aQuery, const LimitTokenRequest& aRequest,
            std::function<void()> aSettled);
  [[nodiscard]] KeyOwnerResponseStatus HandleReply(const LimitTokenRequest& aRequest,
                                                   Progress& aProgress, std::string_view aResponse,
                                                   bool aIsLate);

  KeyOwnerDirectory& owners;
  Admission& admission;
  KeyOwnerQuery query;
  KeyOwnerQuery continuationQuery;
  KeyOwnerQuery overdraftQuery;
};

} // namespace lagoonward
