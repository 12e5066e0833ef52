#pragma once

#include "Lagoonward/Daemon/KeyOwnerQuery.h"
#include "Lagoonward/Fleet/SoftwareVersionHistory.h"
#include "Lagoonward/Relay/StreamOriginTable.h"

#include <array>
#include <set>
#include <span>
#include <vector>

namespace lagoonward {

/// Tunables of the exchange of stream origins.
struct StreamOriginExchangeSettings
{
  StreamOriginTableSettings table;
  KeyOwnerQuerySettings query;
  Milliseconds timeout{ 800 };    ///< For one message with origins.
  Milliseconds retryDelay{ 100 }; ///< Before an unanswered message is sent again.
  int maximumAttempts = 3;        ///< Messages with the same origins to one owner.

  /// Origins of new streams are collected for this long, so that a busy daemon sends one message for many of them.
  Milliseconds sendDelay{ 5 };

  /// After the daemons have changed, how long further changes are awaited before origins are sent to new owners.
  Milliseconds handoffDelay{ 50 };

  std::size_t maximumPerMessage = 512; ///< Origins in one message.

  std::size_t maximumUnsaved =
    16'384; ///< Origins that wait to be saved; further ones are not saved.
};

/// Copies the origin of each stream from the daemon that began it to the two owners of the stream's key
/// (KeyOwnerDirectory), which are in different failure domains, and asks them for the origins of streams that began
/// elsewhere. An origin is thus on up to three daemons, and is found from the id of the stream alone by asking two, whatever
/// the number of daemons. When the owners change, each daemon sends what it holds to the new ones.
///
/// While a service runs several software versions, the origins of its streams are also to be saved outside, so that daemons
/// find them after all have been killed (TakeUnsaved(), OnSaved()). Every daemon reads what was saved, so saved origins are
/// not handed off.
///
/// An origin never changes while its service serves the stream's route, so a copy cannot be wrong, only missing. Where
/// none of the daemons asked has one, they tell whether the service has run only one software version for so long that the
/// stream must be of it.
class StreamOriginExchange final : public StreamOriginStore
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  StreamOriginExchange(const StreamOriginExchangeSettings& aSettings, KeyOwnerDirectory& aOwners,
                       MembershipService& aMembership, SoftwareVersionHistory& aVersions,
                       const Clock& aClock);

  void Record(std::uint64_t aStream, const StreamOrigin& aOrigin) override;
  void Find(const StreamOriginRequest& aRequest, StreamOriginHandler aFound) override;

  /// Key ownership may have changed: sends the origins held here to owners that did not own their keys before. On the
  /// control thread.
  void OnKeyOwnersChanged();

  /// Origins of streams whose service runs several software versions: those recorded here since the last call, and all that
  /// are held here when the second version has come. By one thread.
  [[nodiscard]] std::vector<StreamOriginTable::Entry> TakeUnsaved();

  /// An origin that was saved has been read. Any thread.
  void OnSaved(std::uint64_t aStream, const StreamOrigin& aOrigin);

  /// Number of origins held here. Any thread.
  [[nodiscard]] std::size_t Size() { return this->table.Size(); }

private:
  using Entries = std::vector<StreamOriginTable::Entry>;

  /// One process of an owner. After a restart it holds nothing.
  struct OwnerProcess
  {
    PeerKey key = 0;
    std::uint64_t incarnation = 0;

    bool operator==(const OwnerProcess& aOther) const = default;
  };

  /// Streams have owners by shard, so that the owners of all streams are known from few keys.
  static constexpr std::size_t kShards = 256;

  /// The origin of a stream, recorded or read from outside.
  [[nodiscard]] std::optional<StreamOrigin> Get(std::uint64_t aStream);
  [[nodiscard]] static std::size_t ShardOf(std::uint64_t aStream);
  [[nodiscard]] static std::uint64_t OwnerKeyOf(std::size_t aShard);

  void SendPending();
  void HandOff();
  void Send(const PeerAddress& aOwner, std::span<const StreamOriginTable::Entry> aEntries);
  void SendMessage(const PeerAddress& aOwner, const std::string& aMessage, int aAttemptsLeft);
  [[nodiscard]] std::string HandleQuery(std::string_view aBytes);
  [[nodiscard]] std::string HandleOrigins(std::string_view aBytes);

  const StreamOriginExchangeSettings settings;
  KeyOwnerDirectory& owners;
  MembershipService& membership;
  SoftwareVersionHistory& versions;
  StreamOriginTable table;
  StreamOriginTable saved; ///< Origins that were read from outside.
  KeyOwnerQuery query;
  std::set<std::string>
    severalVersions; ///< Services that ran several at the last TakeUnsaved(), which alone uses it.
  std::mutex pendingMutex; ///< Guards `pending` and `unsaved`.
  Entries pending;         ///< Origins not yet sent to their owners.
  Entries unsaved; ///< See TakeUnsaved(); bounded by StreamOriginExchangeSettings::maximumUnsaved.
  /// Owners that hold the origins of each shard. Control thread only.
  std::array<std::vector<OwnerProcess>, kShards> knownOwners;
  bool isHandoffDue = false; ///< Control thread only.
};

} // namespace lagoonward
