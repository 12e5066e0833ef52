#pragma once

#include "Lagoonward/Membership/KeeperDirectory.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Tunables of questions to keepers.
struct KeeperQuerySettings
{
  /// Nobody waits longer for one keeper's answer: some ten times what it takes between failure domains.
  Milliseconds patience{ 150 };

  /// For the message itself. Longer, as a connection on which one times out is closed, with all else that it carries.
  Milliseconds timeout{ 800 };

  /// A keeper that has not answered is asked last for so long.
  Milliseconds distrust{ 1000 };
};

/// What came of one keeper's answer.
enum class KeeperAnswer
{
  Settled,   ///< Nobody else need be asked.
  AskNext,   ///< It answered, and another one may know better.
  Malformed, ///< It cannot be understood.
};

/// One question to the keepers of a key.
struct KeeperQuestion
{
  std::uint64_t key = 0;
  std::string message;

  /// Takes an answer. On the control thread; also for one that comes after its keeper was given up.
  std::function<KeeperAnswer(std::string_view aAnswer, bool aIsLate)> take;

  /// Called once, on the control thread: it is settled, or no keeper is left.
  std::function<void()> end;
};

/// Asks the keepers of a key, the primary first, the backup where that one has no more to give or is silent.
class KeeperQuery
{
public:
  /// References must outlive it.
  KeeperQuery(const KeeperQuerySettings& aSettings, RequestType aType, KeeperDirectory& aKeepers,
              MembershipService& aMembership, const Clock& aClock);

  /// Asks. Any thread.
  void Ask(KeeperQuestion aQuestion);

private:
  /// One question, from its first keeper to its last.
  struct Inquiry
  {
    KeeperQuestion question;
    std::vector<PeerAddress> left; ///< Keepers still to be asked, the next one last.
    bool isOpen = true;
    std::uint64_t asked = 0; ///< Keepers asked so far.
  };

  using InquiryPtr = std::shared_ptr<Inquiry>;

  [[nodiscard]] std::vector<PeerAddress> KeepersFor(std::uint64_t aKey);
  void AskNext(const InquiryPtr& aInquiry);
  void OnAnswer(const InquiryPtr& aInquiry, std::uint64_t aAsked, PeerKey aKeeper,
                const Result<std::string>& aAnswer);
  void NoteSilence(PeerKey aKeeper, bool aIsSilent);
  static void End(const InquiryPtr& aInquiry);

  KeeperQuerySettings settings;
  RequestType type;
  KeeperDirectory& keepers;
  MembershipService& membership;
  const Clock& clock;
  std::unordered_map<PeerKey, TimePoint>
    silentAt; ///< When a keeper was last asked in vain. Control thread.
};

} // namespace lagoonward
