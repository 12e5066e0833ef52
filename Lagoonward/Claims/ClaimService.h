#pragma once

#include "Lagoonward/Claims/ClaimBatcher.h"
#include "Lagoonward/Claims/ClaimForwarder.h"
#include "Lagoonward/Claims/ClaimTicket.h"
#include "Lagoonward/Core/Service.h"

#include <array>
#include <atomic>
#include <memory>
#include <thread>

namespace lagoonward {

/// What claims need from the rest of the daemon.
struct ClaimServiceHooks
{
  std::string region;
  std::string daemonId;    ///< This daemon's id, as in liveDaemons.
  std::string incarnation; ///< This run of this daemon; never reused.

  /// Ids of the live daemons of the region, this one included. Safe from any thread.
  std::function<std::vector<std::string>()> liveDaemons;

  ClaimForwarder* forwarder = nullptr; ///< Must outlive the service.
};

using ClaimTicketPtr = std::shared_ptr<ClaimTicket>;

/// Claims non-idempotent requests in the log before they are dispatched, so that each runs at most
/// once. Rendezvous hashing over the region's daemons names two for each shard: claims go to the first
/// and, if it does not answer, to the second. That keeps the number of appending daemons small; what
/// is right is decided by the log's order alone. Safe from any thread.
///
/// Use: Claim(); on Won, BeginDispatch() right before the first byte is sent; when the answer is
/// whole, or it is proven that nothing ran, ReportOutcome(). GiveUp() at any moment before that.
class ClaimService final : public Service
{
public:
  static constexpr std::string_view kName = "claims";

  /// @param aLog  interrupted by Stop(), so not to be shared with services that stop later
  ClaimService(ClaimSettings aSettings, ClaimServiceHooks aHooks, LogService& aLog,
               const Clock& aClock);
  ~ClaimService() override;

  [[nodiscard]] std::string_view Name() const override { return kName; }
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Claims a key. aCallback is called once, from any thread, perhaps before this returns; not at all
  /// after GiveUp().
  /// @param aBodyHash    of the request's body
  /// @param aKeyIssued   when the caller made its key, if it says so; past the lifetime, less a margin
  ///                     for clocks, the answer is Expired
  ClaimTicketPtr Claim(const ClaimKey& aKey, std::uint64_t aBodyHash, ClaimCallback aCallback,
                       std::optional<WallTime> aKeyIssued = std::nullopt);

  /// To be asked right before the first byte is sent.
  /// @return whether to dispatch; if not, nothing runs under this ticket and the caller is told so
  [[nodiscard]] bool BeginDispatch(const ClaimTicketPtr& aTicket);

  /// Gives a claim up and frees its key.
  /// @return whether nothing was dispatched, nor ever will be: the proof of `ran: "no"`
  bool GiveUp(const ClaimTicketPtr& aTicket);

  /// Records what became of a dispatched request: Yes when it ran; No only with a proof that it did
  /// not, which frees the key. Unknown is not recorded, as it is what readers assume.
  void ReportOutcome(const ClaimTicketPtr& aTicket, Ran aRan);

  /// Batches a claim that another daemon forwarded.
  void Receive(const lagoonward::Claim& aClaim, Milliseconds aBudget, ClaimCallback aCallback);

  /// Records an outcome that another daemon forwarded.
  void ReceiveOutcome(const ClaimOutcome& aOutcome);

  /// Sum over the shards that this daemon batches.
  [[nodiscard]] ClaimBatcher::Counters GetCounters() const;

private:
  /// One claim on its way.
  struct Journey
  {
    ClaimTicketPtr ticket;
    ClaimCallback callback;
    TimePoint deadline;               ///< On the clock that counts suspension.
    std::vector<std::string> daemons; ///< Those to ask, the next one first.
    bool maybeRecorded = false;       ///< An earlier daemon may have recorded it.
  };
  using JourneyPtr = std::shared_ptr<Journey>;

  [[nodiscard]] std::vector<std::string> BatchersOf(std::size_t aShard) const;
  void Ask(const JourneyPtr& aJourney);
  void OnAnswer(const JourneyPtr& aJourney, const ClaimAnswer& aAnswer);
  void Finish(const JourneyPtr& aJourney, ClaimAnswer aAnswer);
  void RecordOutcome(const ClaimOutcome& aOutcome);
  void Run(ClaimBatcher& aBatcher);

  const ClaimSettings settings;
  const ClaimServiceHooks hooks;
  LogService& log;
  const Clock& clock;
  std::array<std::unique_ptr<ClaimBatcher>, kClaimShards> batchers;
  std::array<std::thread, kClaimShards> threads;
  std::atomic<std::uint64_t> nextSequence{ 0 }; ///< Of the next claim.
  std::atomic<bool> stopping{ false };
};

} // namespace lagoonward
