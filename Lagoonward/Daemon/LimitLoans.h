#pragma once

#include "Lagoonward/Admission/Admission.h"
#include "Lagoonward/Admission/LimitLender.h"
#include "Lagoonward/Membership/KeeperDirectory.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <memory>
#include <mutex>
#include <vector>

namespace lagoonward {

/// Tunables of loans between daemons.
struct LimitLoanSettings
{
  /// A request does not wait longer for one reserve's answer: some ten times what it takes between failure domains.
  Milliseconds patience{ 150 };

  /// For the message itself. Longer, as a connection on which one times out is closed, with all else that it carries.
  Milliseconds timeout{ 800 };

  /// A reserve that has not answered is asked last for so long.
  Milliseconds distrust{ 1000 };
};

/// Borrows tokens of clients' limits from the daemons that keep the reserves (KeeperDirectory), and lends from those kept here.
/// The primary reserve is asked first; the backup where it refuses or is silent. A loan that comes late is kept for the
/// next request.
class LimitLoans final : public LimitLender
{
public:
  /// Must be made before the membership starts; references must outlive it.
  LimitLoans(const LimitLoanSettings& aSettings, KeeperDirectory& aKeepers,
             MembershipService& aMembership, Admission& aAdmission, const Clock& aClock);

  /// Who keeps which reserves may have changed. Any thread.
  void OnKeepers();

  void Borrow(const LoanRequest& aRequest, std::function<void()> aSettled) override;

private:
  /// One request for a loan, from its first reserve to its last.
  struct Inquiry
  {
    LoanRequest request;
    std::function<void()> settled; ///< Empty once called.
    std::vector<PeerAddress> left; ///< Reserves still to be asked, the next one last.
    bool isRefused = false;
    std::uint64_t asked = 0; ///< Reserves asked so far.
  };

  using InquiryPtr = std::shared_ptr<Inquiry>;

  [[nodiscard]] ReserveRole RoleOf(std::uint64_t aClient);
  [[nodiscard]] std::vector<PeerAddress> ReservesFor(std::uint64_t aClient);
  [[nodiscard]] std::string Serve(std::string_view aBytes);
  void AskNext(const InquiryPtr& aInquiry);
  void OnAnswer(const InquiryPtr& aInquiry, std::uint64_t aAsked, PeerKey aReserve,
                const Result<std::string>& aAnswer);
  static void Settle(const InquiryPtr& aInquiry);

  LimitLoanSettings settings;
  KeeperDirectory& keepers;
  MembershipService& membership;
  Admission& admission;
  const Clock& clock;

  std::mutex mutex;                                ///< Guards what follows.
  std::unordered_map<PeerKey, TimePoint> silentAt; ///< When a reserve was last asked in vain.
};

} // namespace lagoonward
