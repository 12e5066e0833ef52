#pragma once

#include "Lagoonward/Leadership/LeaseLedger.h"
#include "Lagoonward/Leadership/LeaseSettings.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <map>

namespace lagoonward {

/// What a leader may be about to order.
enum class OrderKind
{
  Load,
  Unload,
  Role,
  StartHost,
  StopHost,
};

/// Leave to send one order.
struct OrderGrant
{
  Offset fencing = kNoOffset;
  TimePoint sendBy; ///< On Clock::BootNow(); an order not sent by then needs a new grant.
};

/// Holds, renews or waits for the lease of one market and region. Does no I/O: the caller appends what
/// NextAppend() gives, reads the stream from NextOffset() and hands each page to ObservePage(). Answers
/// to appends are never needed, so lost ones cost nothing. Not thread-safe; docs/design/leases.md.
class LeaseKeeper
{
public:
  /// @param aHolder       this daemon's id
  /// @param aIncarnation  this run of it, see MakeIncarnation()
  LeaseKeeper(const LeaseSettings& aSettings, const Clock& aClock, std::string aHolder,
              std::string aIncarnation);

  /// Place among the daemons of the region by rendezvous weight; zero stands first.
  void SetRank(int aRank);

  /// Folds what was read.
  void ObservePage(const LogPage& aPage);

  /// The record to append now, or nothing. Each one counts from the moment of this call.
  [[nodiscard]] std::optional<std::string> NextAppend();

  /// From now on only gives the lease up. For a graceful shutdown.
  void Resign();

  /// Leave to order, asked right before each order. Within the lease: always. Past it, as when the log
  /// is away: only orders to endpoints that check fencing numbers, until a successor is seen.
  /// @param aChecksFencing  whether who gets the order refuses an older number
  /// @return the grant, or NotLeader
  [[nodiscard]] Result<OrderGrant> Authorize(OrderKind aKind, bool aChecksFencing) const;

  /// Whether the lease runs, on the clock that counts suspension.
  [[nodiscard]] bool Holds() const;

  /// Daemon that leads as far as this one has read; empty if none is known.
  [[nodiscard]] std::string_view Leader() const;

  [[nodiscard]] Offset NextOffset() const;

private:
  [[nodiscard]] bool IsOwn(const LeaseRecord& aRecord) const;
  [[nodiscard]] bool MayAcquire() const;
  [[nodiscard]] std::string Write(Milliseconds aDuration);

  LeaseSettings settings;
  const Clock& clock;
  std::string holder;
  std::string incarnation;
  int rank = 0;
  bool resigning = false;
  LeaseLedger ledger;

  std::uint64_t sequence = 0;
  std::map<std::uint64_t, TimePoint> sentAt; ///< Boot time before each append of this run; bounded.
  std::optional<TimePoint> lastAppend;
  Offset seen = kNoOffset;           ///< Record in force; after a gap, the end of what was read.
  bool seenCertain = true;           ///< Which of the two `seen` is.
  std::optional<TimePoint> seenAt;   ///< When `seen` was read first.
  std::optional<TimePoint> leaseEnd; ///< Of this run's lease.
};

} // namespace lagoonward
