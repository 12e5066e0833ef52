#pragma once

#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Membership/PeerInfo.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Version of the protocol between daemons. Messages of any other version are rejected.
inline constexpr std::uint16_t kProtocolVersion = 2;

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

/// State change of one daemon.
struct PeerChange
{
  PeerKey key = 0;
  PeerState state = PeerState::Alive;
  std::uint64_t incarnation = 0;
  std::optional<PeerInfo> info; ///< Present while receivers may not know the daemon.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto hasInfo = static_cast<std::uint8_t>(this->info.has_value());
    aArchive(this->key, this->state, this->incarnation, hasInfo);
    if (this->state > PeerState::Dead || hasInfo > 1) {
      throw cereal::Exception("invalid peer change: state or info flag out of range");
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

/// One load sample of an endpoint. Samples of one endpoint are ordered by the endpoint's own clock, so
/// that two daemons that poll it always agree on which sample is newer. The age is sent as a separate
/// field: the endpoint's clock is compared with another clock only once, by the daemon that polled it.
struct EndpointLoadUpdate
{
  EndpointKey key = 0;
  std::uint32_t asOf = 0; ///< Low bits of the endpoint's `as_of_ms`; compared modulo 2^32.
  std::uint16_t age = 0;  ///< Time since the sample was taken, in units of 10 ms, saturating.
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

/// Encoded size of one EndpointLoadUpdate, in bytes.
inline constexpr std::size_t kEndpointLoadUpdateBytes = 19;

/// Whether an endpoint accepts requests. `Leaving` is final; among the other states the higher version
/// wins.
struct EndpointStateUpdate
{
  EndpointKey key = 0;
  EndpointState state = EndpointState::Live;
  std::uint32_t version = 0;
  std::uint32_t graceLeft = 0; ///< Milliseconds until a leaving endpoint may terminate; 0: unknown.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto wireState = static_cast<std::uint8_t>(this->state);
    aArchive(this->key, wireState, this->version, this->graceLeft);
    if (wireState > static_cast<std::uint8_t>(EndpointState::Ejected)) {
      throw cereal::Exception("invalid endpoint state: value out of range");
    }
    this->state = static_cast<EndpointState>(wireState);
  }
};

/// Encoded size of one EndpointStateUpdate, in bytes.
inline constexpr std::size_t kEndpointStateUpdateBytes = 13;

/// Announces the newest version of a shared state that the sender has, for example of a market's
/// configuration.
struct VersionAnnouncement
{
  std::uint64_t topic = 0; ///< Hash of the state's name.
  std::int64_t version = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->topic, this->version);
  }
};

/// Encoded size of one VersionAnnouncement, in bytes.
inline constexpr std::size_t kVersionAnnouncementBytes = 16;

/// Purpose of a datagram.
enum class DatagramKind : std::uint8_t
{
  Ping,         ///< Requests an Ack.
  Ack,          ///< Response to the Ping with the same nonce.
  IndirectPing, ///< Requests a Ping of the subject on the sender's behalf.
  IndirectAck,  ///< Reports that the subject responded.
  Gossip,       ///< Only disseminates updates.
};

/// The datagram format between daemons. Every kind also carries piggybacked updates.
struct Datagram
{
  DatagramKind kind = DatagramKind::Gossip;
  std::uint32_t nonce = 0;            ///< Echoed in the response. Not in Spread.
  PeerKey subject = 0;                ///< Only in indirect kinds.
  std::uint64_t incarnation = 0;      ///< Of the sender. Not in Spread.
  PeerState state = PeerState::Alive; ///< Of the sender: Alive or Leaving. Not in Spread.
  std::uint64_t digest = 0; ///< Of all states and versions that the sender knows. Not in Spread.
  std::vector<PeerChange> peers;
  std::vector<EndpointStateUpdate> states;
  std::vector<EndpointLoadUpdate> loads;
  std::vector<VersionAnnouncement> versions;

  [[nodiscard]] bool IsIndirect() const
  {
    return this->kind == DatagramKind::IndirectPing || this->kind == DatagramKind::IndirectAck;
  }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->kind);
    if (this->kind > DatagramKind::Gossip) {
      throw cereal::Exception("invalid datagram: kind out of range");
    }
    if (this->kind != DatagramKind::Gossip) {
      aArchive(this->nonce, this->incarnation, this->state, this->digest);
    }
    if (this->state > PeerState::Leaving) {
      throw cereal::Exception("invalid datagram: sender state is neither alive nor leaving");
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
  Response, ///< Bytes are the response body.
  Failure,  ///< Type is an ErrorKind, bytes are the error message.
  Hello, ///< Only authenticates the connecting side, before a first frame over `maximumFirstFrame`.
};

/// One message on a TCP connection.
struct Frame
{
  FrameKind kind = FrameKind::Request;
  PeerKey sender = 0;
  std::uint64_t number = 0; ///< Chosen by the requesting side, echoed in the response.
  std::uint16_t type = 0;   ///< RequestType of a request, ErrorKind of a failure.
  std::string bytes;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->kind, this->sender, this->number, this->type);
    if (this->kind > FrameKind::Hello) {
      throw cereal::Exception("invalid frame: kind out of range");
    }
    SerializeBytes<std::uint32_t>(aArchive, this->bytes);
  }
};

/// The rarely changing properties of an endpoint. Load samples refer to it by hash.
struct EndpointProfile
{
  std::string role;
  std::int64_t kvBlocksTotal = 0;
  std::vector<LoadedModel> models;

  /// Equal on all daemons; zero means that no profile is known.
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

/// State that a daemon sends to one that joins or that has missed updates.
struct StateExchange
{
  std::vector<PeerChange> peers; ///< With their info; only in the response to Join.
  std::vector<EndpointStateUpdate>
    states; ///< Endpoints whose state differs from the initial live state.
  std::vector<EndpointLoadUpdate> loads; ///< Only in the response to Join.
  std::vector<VersionAnnouncement> versions;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeList<std::uint16_t>(aArchive, this->peers);
    SerializeList<std::uint16_t>(aArchive, this->states);
    SerializeList<std::uint16_t>(aArchive, this->loads);
    SerializeList<std::uint16_t>(aArchive, this->versions);
  }
};

/// Requests a profile by its hash.
struct LookupRequest
{
  std::uint64_t key = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->key);
  }
};

/// A named, versioned value that is replicated to every daemon; the higher version wins. Distributes
/// the configurations of markets, with the log offset as version.
struct SharedState
{
  std::string name;
  std::int64_t version = -1;
  std::string bytes;

  /// States whose name has this prefix are replicated within their region only.
  static constexpr std::string_view kRegionalPrefix = "region/";

  [[nodiscard]] std::uint64_t Topic() const { return HashBytes(this->name); }
  [[nodiscard]] bool IsRegional() const { return this->name.starts_with(kRegionalPrefix); }
};

/// Identifies the content of a shared state. The digest distinguishes contents under the same version number.
struct StateVersion
{
  std::int64_t version = -1;
  std::uint64_t digest = 0; ///< HashBytes() of the content.

  /// Whether it identifies no content.
  [[nodiscard]] bool IsEmpty() const { return this->version < 0; }

  bool operator==(const StateVersion& aOther) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->version, this->digest);
  }
};

/// Requests a piece of a shared state.
struct StateRequest
{
  std::uint64_t topic = 0;
  StateVersion base;    ///< Version that the requester has; empty for none.
  StateVersion version; ///< Version of the earlier pieces; empty to request the newest.
  std::uint64_t offset = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->topic, this->base, this->version, this->offset);
  }
};

/// A piece of the newest version of a shared state, encoded relative to its base (EncodeDelta()).
struct StatePiece
{
  std::string name;
  StateVersion version;
  StateVersion base; ///< Empty if the state is sent as a whole.
  std::uint64_t offset = 0;
  std::uint64_t totalBytes = 0; ///< Of the encoded state.
  std::string bytes;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeBytes<std::uint8_t>(aArchive, this->name);
    aArchive(this->version, this->base, this->offset, this->totalBytes);
    SerializeBytes<std::uint32_t>(aArchive, this->bytes);
  }
};

} // namespace lagoonward
