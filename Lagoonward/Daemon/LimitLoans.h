#pragma once

#include "Lagoonward/Admission/Admission.h"
#include "Lagoonward/Admission/LimitLender.h"
#include "Lagoonward/Daemon/KeeperQuery.h"

namespace lagoonward {

/// What this daemon is for the reserves of a key.
[[nodiscard]] ReserveRole
ReserveRoleOf(KeeperDirectory& aKeepers, std::uint64_t aKey);

/// Borrows tokens of clients' limits from the daemons that keep the reserves (KeeperDirectory), and lends from those kept
/// here. The primary reserve is asked first; the backup where it refuses or is silent. A loan that comes late is kept for
/// the next request.
class LimitLoans final : public LimitLender
{
public:
  /// Must be made before the membership starts; references must outlive it.
  LimitLoans(const KeeperQuerySettings& aSettings, KeeperDirectory& aKeepers,
             MembershipService& aMembership, Admission& aAdmission, const Clock& aClock);

  /// Who keeps which reserves may have changed. Any thread.
  void OnKeepers();

  void Borrow(const LoanRequest& aRequest, std::function<void()> aSettled) override;

private:
  /// What came of one request for a loan so far.
  struct Progress
  {
    bool isLent = false;
    bool isRefused = false;
  };

  [[nodiscard]] std::string Serve(std::string_view aBytes);
  [[nodiscard]] KeyOwnerResponseStatus Take(const LoanRequest& aRequest, Progress& aProgress,
                                            std::string_view aAnswer, bool aIsLate);

  KeeperDirectory& keepers;
  Admission& admission;
  KeeperQuery query;
};

} // namespace lagoonward
