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

/// The parts of the daemon that ClaimService depends on.
struct ClaimServiceHooks
{
  std::string region;
  std::string daemonId;    ///< This daemon's id, as in liveDaemons.
  std::string incarnation; ///< Identifies this run of this daemon; never reused.

  /// Returns the ids of the live daemons of the region, including this one. Called from any thread.
  std::function<std::vector<std::string>()> liveDaemons;

  ClaimForwarder* forwarder = nullptr; ///< Must outlive the service.
};

using ClaimTicketPtr = std::shared_ptr<ClaimTicket>;

/// Claims non-idempotent requests in the log before they are dispatched, so that each runs at most once.
/// Rendezvous hashing over the region's daemons selects two daemons for each shard: claims go to the first
/// and, if it does not respond, to the second. This keeps the number of appending daemons small; correctness
/// depends on the order of the log alone. Safe from any thread.
///
/// Usage: call Claim(); on Won, call BeginDispatch() right before the first byte is sent; call ReportOutcome()
/// when the response is complete or it is proven that nothing ran. Withdraw() may be called at any time before
/// that.
class ClaimService final : public Service
{
public:
  static constexpr std::string_view kName = "claims";

  /// @param aLog  interrupted by Stop(), so it must not be shared with services that stop later
  ClaimService(ClaimSettings aSettings, ClaimServiceHooks aHooks, LogService& aLog,
               const Clock& aClock);
  ~ClaimService() override;

  [[nodiscard]] std::string_view Name() const override { return kName; }
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Claims a key. aCallback is called once, from any thread, possibly before this returns; it is not called
  /// after Withdraw().
  /// @param aBodyHash    hash of the request's body
  /// @param aKeyIssued   when the caller created its key, if known; a key older than the lifetime, less a
  ///                     margin for clock differences, is answered with Expired
  ClaimTicketPtr Claim(const ClaimKey& aKey, std::uint64_t aBodyHash, ClaimCallback aCallback,
                       std::optional<WallTime> aKeyIssued = std::nullopt);

  /// Must be called right before the first byte is sent.
  /// @return whether to dispatch; if false, nothing runs under this ticket and the caller must report that
  [[nodiscard]] bool BeginDispatch(const ClaimTicketPtr& aTicket);

  /// Withdraws a claim and frees its key.
  /// @return true if nothing was dispatched and nothing ever will be, which proves `ran: "no"`
  bool Withdraw(const ClaimTicketPtr& aTicket);

  /// Records the outcome of a dispatched request: Yes if it ran; No only with proof that it did not run, which
  /// frees the key. Unknown is not recorded, because readers assume it by default.
  void ReportOutcome(const ClaimTicketPtr& aTicket, Ran aRan);

  /// Batches a claim that another daemon forwarded.
  void Receive(const lagoonward::Claim& aClaim, Milliseconds aBudget, ClaimCallback aCallback);

  /// Records an outcome that another daemon forwarded.
  void ReceiveOutcome(const ClaimOutcome& aOutcome);

  /// Counters summed over the shards that this daemon batches.
  [[nodiscard]] ClaimBatcher::Counters GetCounters() const;

private:
  /// A claim in progress.
  struct ClaimRequest
  {
    ClaimTicketPtr ticket;
    ClaimCallback callback;
    TimePoint deadline;               ///< On the boot clock, which includes time spent suspended.
    std::vector<std::string> daemons; ///< Daemons still to ask, in order.
    bool maybeRecorded = false;       ///< A daemon asked earlier may have recorded the claim.
  };
  using ClaimRequestPtr = std::shared_ptr<ClaimRequest>;

  [[nodiscard]] std::vector<std::string> BatcherDaemons(std::size_t aShard) const;
  void AskNextDaemon(const ClaimRequestPtr& aRequest);
  void OnAnswer(const ClaimRequestPtr& aRequest, const ClaimAnswer& aAnswer);
  void Finish(const ClaimRequestPtr& aRequest, ClaimAnswer aAnswer);
  void RecordOutcome(const ClaimOutcome& aOutcome);
  void Run(ClaimBatcher& aBatcher);

  const ClaimSettings settings;
  const ClaimServiceHooks hooks;
  LogService& log;
  const Clock& clock;
  std::array<std::unique_ptr<ClaimBatcher>, kClaimShards> batchers;
  std::array<std::thread, kClaimShards> threads;
  std::atomic<std::uint64_t> nextSequence{ 0 }; ///< Sequence number of the next claim.
  std::atomic<bool> stopping{ false };
};

} // namespace lagoonward
