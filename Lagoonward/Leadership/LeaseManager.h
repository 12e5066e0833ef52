#pragma once

#include "Lagoonward/Leadership/LeaseLedger.h"
#include "Lagoonward/Leadership/LeaseSettings.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <map>

namespace lagoonward {

/// Kinds of orders that a leader issues.
enum class OrderKind
{
  Load,
  Unload,
  Role,
  StartHost,
  StopHost,
};

/// Permission to send one order.
struct OrderGrant
{
  Offset fencing = kNoOffset;
  TimePoint sendBy; ///< In terms of Clock::BootNow(); an order not sent by then needs a new grant.
};

/// Acquires, renews and releases the lease of one market and region. Does no I/O: the caller appends the record that
/// NextAppend() returns, reads the stream from NextOffset() and passes each page to ObservePage(). Replies to appends
/// are not used, so a lost reply has no effect. Not thread-safe; see docs/design/leases.md.
class LeaseManager
{
public:
  /// @param aHolder       this daemon's id
  /// @param aIncarnation  id of this run of the daemon, see MakeIncarnation()
  LeaseManager(const LeaseSettings& aSettings, const Clock& aClock, std::string aHolder,
               std::string aIncarnation);

  /// Sets the rank of this daemon in the region by rendezvous weight; zero is the first candidate.
  void SetRank(int aRank);

  /// To be called before the first page of another epoch of the log, by a manager that has read nothing yet. The restore
  /// may have lost the record of a lease that still runs, so none is acquired before it has ended.
  void BeginEpoch(std::int64_t aEpoch);

  /// Applies a page that was read from the lease stream.
  void ObservePage(const LogPage& aPage);

  /// The record to append now, or nothing. The duration of its lease starts at this call.
  [[nodiscard]] std::optional<std::string> NextAppend();

  /// From now on only releases the lease. For a graceful shutdown.
  void Resign();

  /// Grants permission for one order; must be called right before each order. During the lease every order is granted.
  /// After its expiry, for example while the log is unavailable, only orders to endpoints that check fencing numbers
  /// are granted, until the lease of a successor has been read.
  /// @param aChecksFencing  whether the receiver of the order refuses lower fencing numbers
  /// @return the grant, or NotLeader
  [[nodiscard]] Result<OrderGrant> Authorize(OrderKind aKind, bool aChecksFencing) const;

  /// Whether the lease has not expired, by the clock that includes suspension of the host.
  [[nodiscard]] bool Holds() const;

  /// Daemon that holds the lease according to the records read so far; empty if none is known.
  [[nodiscard]] std::string_view Leader() const;

  [[nodiscard]] Offset NextOffset() const;

private:
  [[nodiscard]] bool IsOwn(const LeaseRecord& aRecord) const;
  [[nodiscard]] bool MayAcquire() const;
  [[nodiscard]] std::string MakeRecord(Milliseconds aDuration);

  LeaseSettings settings;
  const Clock& clock;
  std::string holder;
  std::string incarnation;
  int rank = 0;
  bool resigning = false;
  LeaseLedger ledger;
  std::int64_t epoch = 0;
  TimePoint earliestAcquisition = TimePoint::min(); ///< BootNow().

  std::uint64_t sequence = 0;
  /// Boot time before each append of this run, by sequence; bounded.
  std::map<std::uint64_t, TimePoint> sentAt;
  std::optional<TimePoint> lastAppend;
  /// Offset of the record in force; after a gap, the next offset to read.
  Offset observedOffset = kNoOffset;
  bool observedCertain = true; ///< Whether `observedOffset` is the offset of the record in force.
  std::optional<TimePoint> observedAt; ///< When `observedOffset` was read first.
  std::optional<TimePoint> leaseEnd;   ///< End of the lease of this run.
};

} // namespace lagoonward
