#pragma once

#include "Lagoonward/Admission/Admission.h"
#include "Lagoonward/Admission/LimitLender.h"
#include "Lagoonward/Daemon/KeeperQuery.h"

namespace lagoonward {

/// The role of this daemon for the reserves of a key.
[[nodiscard]] ReserveRole
ReserveRoleOf(KeeperDirectory& aOwners, std::uint64_t aKey);

/// Borrows tokens of clients' limits from the daemons that own the reserves (KeeperDirectory), and lends from the
/// reserves that this daemon owns. The primary reserve is asked first, the backup where the primary refuses or does not
/// respond in time. A loan that arrives late is credited, so that a later request can use it.
class LimitLoans final : public LimitLender
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  LimitLoans(const KeeperQuerySettings& aSettings, KeeperDirectory& aOwners,
             MembershipService& aMembership, Admission& aAdmission, const Clock& aClock);

  /// The ownership of reserves may have changed. Any thread.
  void OnKeepers();

  void Borrow(const LoanRequest& aRequest, std::function<void()> aSettled) override;

private:
  /// Responses to one request for a loan so far.
  struct Progress
  {
    bool isLent = false;
    bool isRefused = false;
  };

  [[nodiscard]] std::string HandleRequest(std::string_view aBytes);
  [[nodiscard]] KeyOwnerResponseStatus HandleReply(const LoanRequest& aRequest, Progress& aProgress,
                                                   std::string_view aResponse, bool aIsLate);

  KeeperDirectory& owners;
  Admission& admission;
  KeeperQuery query;
};

} // namespace lagoonward
