#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lagoonward {

/// An endpoint's own record, as its source keeps it.
struct EndpointRecord
{
  std::string id;
  std::string text;         ///< Empty where it was removed.
  std::int64_t version = 0; ///< Grows with each record of the source.
  bool removed = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->id, this->text, this->version, this->removed);
  }
};

/// The records that changed a picture of the endpoints of late, for those who do not have them yet. Not thread-safe.
class EndpointChanges
{
public:
  /// @param aKept  how long a change is kept
  explicit EndpointChanges(Milliseconds aKept);

  /// From now on all changes of this version and above are added; none is kept before.
  void Begin(std::int64_t aFrom);

  /// A record has changed the picture. Without effect before Begin().
  /// @param aIsInferred  whether the source holds no such record: it was found missing among all
  void Add(const EndpointRecord& aRecord, bool aIsInferred, TimePoint aNow);

  /// Drops what was kept long enough.
  void Forget(TimePoint aNow);

  /// Lowest version from which on nothing is missing here.
  [[nodiscard]] std::int64_t From() const { return this->from; }

  /// The changes of this version and above. Inferred ones are always among them, as their version says little.
  [[nodiscard]] std::vector<EndpointRecord> Since(std::int64_t aVersion) const;

private:
  struct Change
  {
    TimePoint at;
    bool isInferred = false;
    EndpointRecord record;
  };

  Milliseconds kept;
  bool hasBegun = false;
  std::int64_t from = 0;
  std::deque<Change> changes; ///< In the order of adding.
};

} // namespace lagoonward
