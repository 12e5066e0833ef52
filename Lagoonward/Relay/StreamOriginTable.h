#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Relay/StreamOrigin.h"

#include <cstddef>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoonward {

/// Tunables of StreamOriginTable.
struct StreamOriginTableSettings
{
  /// Shortest time that an origin is kept after it was last recorded. The longest is twice that.
  Milliseconds retention{ 60'000 };

  /// Number of origins from which on older ones are evicted before the retention has passed; twice as many are held at
  /// most.
  std::size_t maximumRecords = 32'768;
};

/// Origins of streams in the memory of one daemon. They are kept in two generations: when the newer one is old or full,
/// the older one is dropped, so that eviction takes no time per record. Thread-safe.
class StreamOriginTable final : public StreamOriginStore
{
public:
  using Entry = std::pair<std::uint64_t, StreamOrigin>;

  /// The clock must outlive the table.
  StreamOriginTable(const StreamOriginTableSettings& aSettings, const Clock& aClock);

  void Record(std::uint64_t aStream, const StreamOrigin& aOrigin) override;

  /// Calls `aFound` before it returns.
  void Find(const StreamOriginRequest& aRequest, StreamOriginHandler aFound) override;

  [[nodiscard]] std::optional<StreamOrigin> Get(std::uint64_t aStream);

  /// All origins, in no particular order.
  [[nodiscard]] std::vector<Entry> Entries();

  [[nodiscard]] std::size_t Size();

private:
  using Generation = std::unordered_map<std::uint64_t, StreamOrigin>;

  void DropExpired();
  /// Called with the mutex held.
  [[nodiscard]] std::optional<StreamOrigin> FindLocked(std::uint64_t aStream) const;

  const StreamOriginTableSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards what follows.
  Generation newer;
  Generation older;
  TimePoint newerSince; ///< When the newer generation was begun.
};

} // namespace lagoonward
