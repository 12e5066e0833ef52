#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Membership/PeerInfo.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>

namespace lagoonward {

/// Record of a running request, stored at a peer of the serving daemon. A caller that reconnects through another daemon
/// can then join the running request instead of running it again.
struct SoftRecord
{
  std::uint64_t keyHash = 0;  ///< Hash of market, client and idempotency key.
  std::uint64_t bodyHash = 0; ///< Detects reuse of the key with another body.
  PeerKey server = 0;         ///< The daemon that serves the request.
  EndpointKey endpoint = 0;
  std::string streamId;        ///< Assigned by the engine; empty until known.
  std::uint32_t progress = 0;  ///< Tokens relayed when the record was last updated.
  std::uint32_t revision = 0;  ///< Incremented with each update by the serving daemon.
  std::uint32_t expiresIn = 0; ///< Milliseconds until the record expires.
  bool finished = false;       ///< The serving daemon has the complete response.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->keyHash, this->bodyHash, this->server, this->endpoint);
    SerializeBytes<std::uint8_t>(aArchive, this->streamId);
    aArchive(this->progress, this->revision, this->expiresIn, this->finished);
  }
};

/// Request to store a record at a peer, or to read the one with the same key.
struct RecordRequest
{
  bool isPlacement = false;
  SoftRecord record; ///< Only its key is used when reading.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->isPlacement, this->record);
  }
};

/// Soft records stored for peers, bounded by SoftRecordSettings::maximumRecords: when full, the record that expires
/// first is evicted. A lost record costs a re-run, never a wrong response: requests that must not be repeated are
/// protected by claims in the log. Performs no I/O. Not thread-safe.
class SoftRecords
{
public:
  SoftRecords(const Clock& aClock, SoftRecordSettings aSettings);

  /// Stores a record unless a newer revision by the same server is stored. A record by another server always replaces
  /// the stored one, because the request has moved.
  void Put(SoftRecord aRecord);

  /// The record of a key, with expiresIn as of now. Nothing if unknown or expired.
  [[nodiscard]] std::optional<SoftRecord> Find(std::uint64_t aKeyHash);

  void Remove(std::uint64_t aKeyHash);

  /// Removes expired records. To be called periodically by the owner.
  void Sweep();

  [[nodiscard]] std::size_t Size() const;

  /// Holder of the record of a key: the daemon with the highest rendezvous weight among those that are alive in the
  /// region and outside the serving daemon's failure domain. Falls back to the same domain if there is no other.
  /// Daemons with the same view compute the same holder, except that one in another domain than the server's may have
  /// to ask two (see PossibleHolders()).
  [[nodiscard]] static std::optional<PeerKey> HolderFor(std::uint64_t aKeyHash,
                                                        const PeerInfo& aServer,
                                                        std::span<const Peer> aPeers);

  /// Daemons that may hold a key's record if the serving daemon is unknown: the highest-ranked one of each failure
  /// domain of the region, in order of rank, at most aLimit.
  [[nodiscard]] static std::vector<PeerKey> PossibleHolders(std::uint64_t aKeyHash,
                                                            std::string_view aRegion,
                                                            std::span<const Peer> aPeers,
                                                            std::size_t aLimit);

private:
  struct Entry
  {
    SoftRecord record;
    TimePoint expiresAt;
  };

  using Entries = std::unordered_map<std::uint64_t, Entry>;

  void Erase(Entries::iterator aEntry);

  const Clock& clock;
  SoftRecordSettings settings;
  Entries entries;
  std::multimap<TimePoint, std::uint64_t> byExpiry;
};

} // namespace lagoonward
