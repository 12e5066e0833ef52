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

/// What a sibling daemon remembers of a running request, so that a caller who comes back through
/// another daemon joins the request in place of running it again.
struct SoftRecord
{
  std::uint64_t keyHash = 0;  ///< Of market, client and idempotency key.
  std::uint64_t bodyHash = 0; ///< Tells a repeated key with another body.
  PeerKey server = 0;         ///< The daemon that serves the request.
  EndpointKey endpoint = 0;
  std::string streamId;        ///< The engine's; empty until known.
  std::uint32_t progress = 0;  ///< Tokens relayed when the record was last renewed.
  std::uint32_t revision = 0;  ///< Rises with each renewal by the serving daemon.
  std::uint32_t expiresIn = 0; ///< Milliseconds left; the record is void after that.
  bool finished = false;       ///< The serving daemon keeps the whole answer.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->keyHash, this->bodyHash, this->server, this->endpoint);
    SerializeBytes<std::uint8_t>(aArchive, this->streamId);
    aArchive(this->progress, this->revision, this->expiresIn, this->finished);
  }
};

/// Places a record with a sibling, or asks for the one with the same key.
struct RecordRequest
{
  bool isPlacement = false;
  SoftRecord record; ///< Only its key counts when asking.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->isPlacement, this->record);
  }
};

/// Records kept for siblings. Pure; bounded by SoftRecordSettings::maximumRecords: when full, the
/// record that expires first goes. Losing one costs a re-run, never a wrong answer: requests that
/// may not be repeated are guarded by claims in the log.
class SoftRecords
{
public:
  SoftRecords(const Clock& aClock, SoftRecordSettings aSettings);

  /// Stores a record unless a newer revision by the same server is there. A record by another server
  /// replaces the old one: the request has moved.
  void Put(SoftRecord aRecord);

  /// The record of a key, with expiresIn counted down. Nothing when unknown or expired.
  [[nodiscard]] std::optional<SoftRecord> Find(std::uint64_t aKeyHash);

  void Remove(std::uint64_t aKeyHash);

  /// Drops what has expired. Called from time to time by the owner.
  void Sweep();

  [[nodiscard]] std::size_t Size() const;

  /// Where the record of a key belongs: the daemon with the highest rendezvous weight among those
  /// alive in the region and outside the serving daemon's failure domain. Falls back to the
  /// same domain when there is no other. Every daemon computes the same holder from the same
  /// view, except that one in another domain than the server's may have to ask two (see Holders()).
  [[nodiscard]] static std::optional<PeerKey> HolderFor(std::uint64_t aKeyHash,
                                                        const PeerInfo& aServer,
                                                        std::span<const Peer> aPeers);

  /// Daemons that may hold a key's record when the serving daemon is not known: the best one of
  /// each failure domain of the region, best first, at most aLimit.
  [[nodiscard]] static std::vector<PeerKey> Holders(std::uint64_t aKeyHash,
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
