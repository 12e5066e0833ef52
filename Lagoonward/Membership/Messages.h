#pragma once

#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Membership/PeerInfo.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Version of the protocol between daemons. Others are refused.
inline constexpr std::uint16_t kProtocolVersion = 1;

template<class Archive>
void
PeerInfo::serialize(Archive& aArchive)
{
  SerializeBytes<std::uint8_t>(aArchive, this->id);
  SerializeBytes<std::uint8_t>(aArchive, this->address);
  aArchive(this->port);
  SerializeBytes<std::uint8_t>(aArchive, this->failureDomain);
  SerializeBytes<std::uint8_t>(aArchive, this->region);
}

/// A change of one daemon's state.
struct PeerChange
{
  PeerKey key = 0;
  PeerState state = PeerState::Alive;
  std::uint64_t incarnation = 0;
  std::optional<PeerInfo> info; ///< Present while the daemon may be unknown to others.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto hasInfo = static_cast<std::uint8_t>(this->info.has_value());
    aArchive(this->key, this->state, this->incarnation, hasInfo);
    if (this->state > PeerState::Dead || hasInfo > 1) {
      throw cereal::Exception("bad peer change");
    }
    if constexpr (Archive::is_loading::value) {
      if (hasInfo != 0) {
        this->info.emplace();
      }
    }
    if (this->info) {
      aArchive(*this->info);
    }
  }
};

/// One reading of an endpoint's load. Readings of one endpoint are ordered by the endpoint's own
/// clock, which is why two watchers never disagree on which is newer. The age travels beside it: the
/// endpoint's clock is compared with another one only once, by the watcher that took the reading.
struct LoadFact
{
  EndpointKey key = 0;
  std::uint32_t asOf = 0; ///< Low bits of the endpoint's `as_of_ms`; compared modulo 2^32.
  std::uint16_t age = 0;  ///< Time since the reading, in units of 10 ms, saturating.
  std::uint16_t waiting = 0;
  std::uint16_t running = 0;
  std::uint8_t kvUsed = 0;   ///< Used share of the KV blocks, in units of 1/255.
  std::uint32_t profile = 0; ///< Hash of the EndpointProfile.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->key, this->asOf, this->age, this->waiting, this->running, this->kvUsed,
             this->profile);
  }
};

/// Bytes of one LoadFact on the wire.
inline constexpr std::size_t kLoadFactBytes = 19;

/// Whether an endpoint may get work. `Leaving` is final; between the others the higher version wins.
struct StateFact
{
  EndpointKey key = 0;
  EndpointState state = EndpointState::Live;
  std::uint32_t version = 0;
  std::uint32_t graceLeft = 0; ///< Milliseconds until a leaving endpoint may vanish; 0: not known.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto wireState = static_cast<std::uint8_t>(this->state);
    aArchive(this->key, wireState, this->version, this->graceLeft);
    if (wireState > static_cast<std::uint8_t>(EndpointState::Ejected)) {
      throw cereal::Exception("bad endpoint state");
    }
    this->state = static_cast<EndpointState>(wireState);
  }
};

/// Bytes of one StateFact on the wire.
inline constexpr std::size_t kStateFactBytes = 13;

/// Newest version of a shared state that the sender has, for example a market's configuration.
struct VersionNote
{
  std::uint64_t topic = 0; ///< Hash of the state's name.
  std::int64_t version = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->topic, this->version);
  }
};

/// Bytes of one VersionNote on the wire.
inline constexpr std::size_t kVersionNoteBytes = 16;

/// What a datagram asks for.
enum class DatagramKind : std::uint8_t
{
  Ping,         ///< Answer with an Ack.
  Ack,          ///< Answers a Ping of that nonce.
  IndirectPing, ///< Ping the subject for the sender.
  IndirectAck,  ///< The subject answered.
  Spread,       ///< Only carries news.
};

/// The one datagram between daemons; every kind carries news beside its purpose.
struct Datagram
{
  DatagramKind kind = DatagramKind::Spread;
  std::uint32_t nonce = 0;            ///< Repeated in the answer. Not in Spread.
  PeerKey subject = 0;                ///< Only in indirect kinds.
  std::uint64_t incarnation = 0;      ///< The sender's own. Not in Spread.
  PeerState state = PeerState::Alive; ///< The sender's own: Alive or Leaving. Not in Spread.
  std::uint64_t digest = 0;           ///< Of all states and versions known. Not in Spread.
  std::vector<PeerChange> peers;
  std::vector<StateFact> states;
  std::vector<LoadFact> loads;
  std::vector<VersionNote> versions;

  [[nodiscard]] bool IsIndirect() const
  {
    return this->kind == DatagramKind::IndirectPing || this->kind == DatagramKind::IndirectAck;
  }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->kind);
    if (this->kind > DatagramKind::Spread) {
      throw cereal::Exception("bad datagram kind");
    }
    if (this->kind != DatagramKind::Spread) {
      aArchive(this->nonce, this->incarnation, this->state, this->digest);
    }
    if (this->state > PeerState::Leaving) {
      throw cereal::Exception("bad sender state");
    }
    if (this->IsIndirect()) {
      aArchive(this->subject);
    }
    SerializeList<std::uint8_t>(aArchive, this->peers);
    SerializeList<std::uint8_t>(aArchive, this->states);
    SerializeList<std::uint8_t>(aArchive, this->loads);
    SerializeList<std::uint8_t>(aArchive, this->versions);
  }
};

/// Role of a TCP frame.
enum class FrameKind : std::uint8_t
{
  Request,
  Answer,  ///< Bytes are the answer.
  Failure, ///< Type is an ErrorKind, bytes are its message.
  Opening, ///< Says only who connects, before a frame that nobody would take from a stranger.
};

/// One message on a TCP connection.
struct Frame
{
  FrameKind kind = FrameKind::Request;
  PeerKey sender = 0;
  std::uint64_t number = 0; ///< Chosen by the asking side, repeated in the answer.
  std::uint16_t type = 0;   ///< RequestType of a request, ErrorKind of a failure.
  std::string bytes;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->kind, this->sender, this->number, this->type);
    if (this->kind > FrameKind::Opening) {
      throw cereal::Exception("bad frame kind");
    }
    SerializeBytes<std::uint32_t>(aArchive, this->bytes);
  }
};

/// What changes rarely about an endpoint; loads name it by hash.
struct EndpointProfile
{
  std::string role;
  std::int64_t kvBlocksTotal = 0;
  std::vector<LoadedModel> models;

  /// Stable over daemons; zero stands for "none known".
  [[nodiscard]] std::uint32_t Hash() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeBytes<std::uint8_t>(aArchive, this->role);
    aArchive(this->kvBlocksTotal);
    SerializeList<std::uint8_t>(aArchive, this->models);
  }
};

template<class Archive>
void
serialize(Archive& aArchive, LoadedAdapter& aAdapter)
{
  SerializeBytes<std::uint8_t>(aArchive, aAdapter.name);
  SerializeBytes<std::uint8_t>(aArchive, aAdapter.version);
}

template<class Archive>
void
serialize(Archive& aArchive, LoadedModel& aModel)
{
  SerializeBytes<std::uint8_t>(aArchive, aModel.name);
  SerializeBytes<std::uint8_t>(aArchive, aModel.version);
  SerializeList<std::uint8_t>(aArchive, aModel.adapters);
}

/// Everything that a daemon tells another that joins, or that has missed news.
struct StateExchange
{
  std::vector<PeerChange> peers; ///< With their info; only in the answer to Join.
  std::vector<StateFact> states; ///< Endpoints that are not plainly live.
  std::vector<LoadFact> loads;   ///< Only in the answer to Join.
  std::vector<VersionNote> versions;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeList<std::uint16_t>(aArchive, this->peers);
    SerializeList<std::uint16_t>(aArchive, this->states);
    SerializeList<std::uint16_t>(aArchive, this->loads);
    SerializeList<std::uint16_t>(aArchive, this->versions);
  }
};

/// Names one thing by its 64-bit hash: a shared state's topic, or a profile.
struct LookUp
{
  std::uint64_t key = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->key);
  }
};

/// A named value with a version, spread to every daemon; the higher version wins everywhere. The
/// configuration of a market travels this way, its version being the log offset.
struct SharedState
{
  std::string name;
  std::int64_t version = -1;
  std::string bytes;

  /// States whose name begins like this stay within their region.
  static constexpr std::string_view kRegionalPrefix = "region/";

  [[nodiscard]] std::uint64_t Topic() const { return HashBytes(this->name); }
  [[nodiscard]] bool IsRegional() const { return this->name.starts_with(kRegionalPrefix); }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeBytes<std::uint8_t>(aArchive, this->name);
    aArchive(this->version);
    SerializeBytes<std::uint32_t>(aArchive, this->bytes);
  }
};

} // namespace lagoonward
