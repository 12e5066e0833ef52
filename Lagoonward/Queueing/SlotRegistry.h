#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Queueing/SlotSource.h"

#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// All queued requests of this daemon that are in flight at endpoints, so that it can declare them to new owners of a pool.
/// Thread-safe; performs no I/O.
class SlotRegistry
{
public:
  explicit SlotRegistry(const Clock& aClock);

  /// Sets the number that identifies this daemon process to others. Must be called before any other method.
  void SetRun(std::uint64_t aRun) { this->run = aRun; }

  /// Fills in `run` and a new `lease`.
  void Identify(SlotMessage& aRequest);

  /// A request that was granted a slot is being sent.
  /// @param aRequest  the Request that was granted
  void Begin(const SlotMessage& aRequest, std::uint64_t aEndpoint);

  /// A request has ended.
  /// @return the message for the owner; nothing if it had ended before
  [[nodiscard]] std::optional<SlotMessage> End(std::uint64_t aLease, SlotAction aAction);

  /// Messages that declare all requests in flight; `pool` is as it was when they began.
  [[nodiscard]] std::vector<SlotMessage> Declarations() const;

  [[nodiscard]] std::size_t InFlight() const;

private:
  struct Entry
  {
    SlotMessage message;
    TimePoint begunAt;
    TimePoint endsBy;
  };

  const Clock& clock;
  std::uint64_t run = 1;
  mutable std::mutex mutex; ///< Guards all below.
  std::uint64_t nextLease = 1;
  std::unordered_map<std::uint64_t, Entry> entries; ///< By lease.
};

/// A slot taken by a request of this daemon, from the grant to the end of the request. Ends as abandoned if it is destroyed
/// earlier. Movable, not copyable.
class SlotHold
{
public:
  SlotHold() = default;

  /// References must outlive it.
  SlotHold(SlotRegistry& aRegistry, SlotSource& aSource, const SlotMessage& aRequest,
           std::uint64_t aEndpoint);
  SlotHold(SlotHold&& aOther) noexcept;
  SlotHold& operator=(SlotHold&& aOther) noexcept;
  SlotHold(const SlotHold&) = delete;
  SlotHold& operator=(const SlotHold&) = delete;
  ~SlotHold();

  /// Ends the request. Later calls have no effect.
  void End(SlotAction aAction);

  [[nodiscard]] bool IsHeld() const { return this->registry != nullptr; }

private:
  SlotRegistry* registry = nullptr; ///< Null once it has ended.
  SlotSource* source = nullptr;
  std::uint64_t lease = 0;
};

} // namespace lagoonward
