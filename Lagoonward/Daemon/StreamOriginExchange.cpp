#include "Lagoonward/Daemon/StreamOriginExchange.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <algorithm>
#include <map>

namespace lagoonward {

namespace {

const Log kLog("streams");

/// Seed of the keys of shards, so that other state with the same numbers has other owners.
constexpr std::uint64_t kShardSeed = 0x5f0e;

/// Origins of streams for their owner. Answered by an empty message.
struct StreamOriginsMessage
{
  struct Entry
  {
    std::uint64_t stream = 0;
    std::string service;
    std::string softwareVersion;

    template<class Archive>
    void serialize(Archive& aArchive)
    {
      aArchive(this->stream);
      SerializeBytes<std::uint16_t>(aArchive, this->service);
      SerializeBytes<std::uint16_t>(aArchive, this->softwareVersion);
    }
  };

  std::vector<Entry> entries;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeList<std::uint16_t>(aArchive, this->entries);
  }
};

/// Asks an owner for the origin of a stream. Answered by a StreamOriginAnswer.
struct StreamOriginQuery
{
  std::uint64_t stream = 0;
  std::string service;
  std::int64_t maximumAge = 0; ///< Milliseconds.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->stream, this->maximumAge);
    SerializeBytes<std::uint16_t>(aArchive, this->service);
  }
};

/// What an owner knows of a stream.
struct StreamOriginAnswer
{
  bool hasOrigin = false;
  std::string service; ///< Of the origin, as is the version.
  std::string softwareVersion;
  bool isComplete = false; ///< See ServiceVersions, as for the next two.
  std::int32_t versionCount = 0;
  std::string version;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->hasOrigin, this->isComplete, this->versionCount);
    SerializeBytes<std::uint16_t>(aArchive, this->service);
    SerializeBytes<std::uint16_t>(aArchive, this->softwareVersion);
    SerializeBytes<std::uint16_t>(aArchive, this->version);
  }
};

/// What the daemons that were asked know together of a service's versions.
class VersionSurvey
{
public:
  void Add(const ServiceVersions& aVersions)
  {
    const bool differs =
      this->version && aVersions.count > 0 && *this->version != aVersions.version;
    this->hasSeveral = this->hasSeveral || aVersions.count > 1 || differs;
    this->isComplete = this->isComplete || aVersions.isComplete;
    if (aVersions.count > 0) {
      this->version = aVersions.version;
    }
  }

  [[nodiscard]] std::optional<std::string> Sole() const
  {
    return this->isComplete && !this->hasSeveral ? this->version : std::nullopt;
  }

private:
  bool hasSeveral = false;
  bool isComplete = false; ///< One of them knew the endpoints throughout.
  std::optional<std::string> version;
};

/// State of one search.
struct Search
{
  StreamOriginReply reply;
  VersionSurvey survey;
};

} // namespace

StreamOriginExchange::StreamOriginExchange(const StreamOriginExchangeSettings& aSettings,
                                           KeyOwnerDirectory& aOwners,
                                           MembershipService& aMembership,
                                           SoftwareVersionHistory& aVersions, const Clock& aClock)
  : settings(aSettings)
  , owners(aOwners)
  , membership(aMembership)
  , versions(aVersions)
  , table(aSettings.table, aClock)
  , saved(aSettings.table, aClock)
  , query(aSettings.query, ToRequestType(PeerRequest::StreamOriginQuery), aOwners, aMembership,
          aClock)
{
  PeerTransport& transport = aMembership.Transport();
  transport.OnRequest(
    ToRequestType(PeerRequest::StreamOrigins),
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->HandleOrigins(aBytes));
    });
  transport.OnRequest(
    ToRequestType(PeerRequest::StreamOriginQuery),
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->HandleQuery(aBytes));
    });
}

std::size_t
StreamOriginExchange::ShardOf(std::uint64_t aStream)
{
  return aStream % kShards;
}

std::uint64_t
StreamOriginExchange::OwnerKeyOf(std::size_t aShard)
{
  return CombineHashes(kShardSeed, aShard);
}

void
StreamOriginExchange::Record(std::uint64_t aStream, const StreamOrigin& aOrigin)
{
  this->table.Record(aStream, aOrigin);
  const bool isToBeSaved = this->versions.VersionsOf(aOrigin.service, kMaximumStreamAge).count > 1;
  bool isFirst = false;
  {
    const std::lock_guard lock(this->pendingMutex);
    isFirst = this->pending.empty();
    this->pending.emplace_back(aStream, aOrigin);
    if (isToBeSaved && this->unsaved.size() < this->settings.maximumUnsaved) {
      this->unsaved.emplace_back(aStream, aOrigin);
    }
  }
  if (isFirst) {
    this->membership.Loop().Post([this] {
      this->membership.Loop().After(this->settings.sendDelay, [this] { this->SendPending(); });
    });
  }
}

std::vector<StreamOriginTable::Entry>
StreamOriginExchange::TakeUnsaved()
{
  Entries taken;
  {
    const std::lock_guard lock(this->pendingMutex);
    taken.swap(this->unsaved);
  }
  std::set<std::string> several;
  for (const auto& [service, running] :
       this->versions.AllVersions(kMaximumStreamAge).value_or(VersionsByService())) {
    if (running.size() > 1) {
      several.insert(service);
    }
  }
  const bool hasNew = !std::includes(this->severalVersions.begin(), this->severalVersions.end(),
                                     several.begin(), several.end());
  if (hasNew) {
    for (StreamOriginTable::Entry& entry : this->table.Entries()) {
      const std::string& service = entry.second.service;
      if (several.contains(service) && !this->severalVersions.contains(service)) {
        taken.push_back(std::move(entry));
      }
    }
  }
  this->severalVersions = std::move(several);
  return taken;
}

void
StreamOriginExchange::OnSaved(std::uint64_t aStream, const StreamOrigin& aOrigin)
{
  this->saved.Record(aStream, aOrigin);
}

std::optional<StreamOrigin>
StreamOriginExchange::Get(std::uint64_t aStream)
{
  auto origin = this->table.Get(aStream);
  return origin ? origin : this->saved.Get(aStream);
}

void
StreamOriginExchange::SendPending()
{
  Entries entries;
  {
    const std::lock_guard lock(this->pendingMutex);
    entries.swap(this->pending);
  }
  std::map<PeerKey, std::pair<PeerAddress, Entries>> byOwner;
  for (const auto& entry : entries) {
    for (const PeerAddress& owner : this->owners.OtherOwnersOf(OwnerKeyOf(ShardOf(entry.first)))) {
      auto& [address, forOwner] = byOwner[owner.key];
      address = owner;
      forOwner.push_back(entry);
    }
  }
  for (const auto& [key, forOwner] : byOwner) {
    this->Send(forOwner.first, forOwner.second);
  }
}

void
StreamOriginExchange::Send(const PeerAddress& aOwner,
                           std::span<const StreamOriginTable::Entry> aEntries)
{
  while (!aEntries.empty()) {
    const std::size_t count = std::min(aEntries.size(), this->settings.maximumPerMessage);
    StreamOriginsMessage message;
    for (const auto& [stream, origin] : aEntries.first(count)) {
      message.entries.push_back({ stream, origin.service, origin.softwareVersion });
    }
    this->SendMessage(aOwner, EncodeMessage(message), this->settings.maximumAttempts);
    aEntries = aEntries.subspan(count);
  }
}

void
StreamOriginExchange::SendMessage(const PeerAddress& aOwner, const std::string& aMessage,
                                  int aAttemptsLeft)
{
  this->membership.Transport().Request(
    aOwner, ToRequestType(PeerRequest::StreamOrigins), aMessage, this->settings.timeout,
    [this, aOwner, aMessage, aAttemptsLeft](const Result<std::string>& aResponse) {
      if (!aResponse && aAttemptsLeft > 1) {
        this->membership.Loop().After(this->settings.retryDelay,
                                      [this, aOwner, aMessage, aAttemptsLeft] {
                                        this->SendMessage(aOwner, aMessage, aAttemptsLeft - 1);
                                      });
      }
    });
}

void
StreamOriginExchange::OnKeyOwnersChanged()
{
  if (!std::exchange(this->isHandoffDue, true)) {
    this->membership.Loop().After(this->settings.handoffDelay, [this] { this->HandOff(); });
  }
}

void
StreamOriginExchange::HandOff()
{
  this->isHandoffDue = false;
  std::array<Entries, kShards> byShard;
  for (StreamOriginTable::Entry& entry : this->table.Entries()) {
    byShard.at(ShardOf(entry.first)).push_back(std::move(entry));
  }
  const PeerViewPtr view = this->membership.Peers();
  std::size_t sent = 0;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    std::vector<OwnerProcess>& known = this->knownOwners.at(shard);
    std::vector<OwnerProcess> current;
    for (const PeerAddress& owner : this->owners.OtherOwnersOf(OwnerKeyOf(shard))) {
      const Peer* peer = view->Find(owner.key);
      const OwnerProcess process{ owner.key, peer == nullptr ? 0 : peer->incarnation };
      current.push_back(process);
      const bool isNew = std::find(known.begin(), known.end(), process) == known.end();
      if (isNew && !byShard.at(shard).empty()) {
        this->Send(owner, byShard.at(shard));
        sent += byShard.at(shard).size();
      }
    }
    known = std::move(current);
  }
  if (sent > 0) {
    kLog.Event("origins_handed_off", { { "sent", sent } });
  }
}

std::string
StreamOriginExchange::HandleOrigins(std::string_view aBytes)
{
  const auto message = DecodeMessage<StreamOriginsMessage>(aBytes);
  if (!message) {
    kLog.Warning("Received malformed stream origins from a peer; ignored.");
    return {};
  }
  for (const StreamOriginsMessage::Entry& entry : message.value().entries) {
    this->table.Record(entry.stream, { entry.service, entry.softwareVersion });
  }
  return {};
}

std::string
StreamOriginExchange::HandleQuery(std::string_view aBytes)
{
  StreamOriginAnswer answer;
  const auto request = DecodeMessage<StreamOriginQuery>(aBytes);
  if (!request) {
    kLog.Warning("Received a malformed query for a stream origin; answers as if it were unknown.");
    return EncodeMessage(answer);
  }
  const StreamOriginQuery& asked = request.value();
  if (const auto origin = this->Get(asked.stream)) {
    answer.hasOrigin = true;
    answer.service = origin->service;
    answer.softwareVersion = origin->softwareVersion;
  }
  const ServiceVersions known =
    this->versions.VersionsOf(asked.service, Milliseconds(asked.maximumAge));
  answer.isComplete = known.isComplete;
  answer.versionCount = known.count;
  answer.version = known.version;
  return EncodeMessage(answer);
}

void
StreamOriginExchange::Find(const StreamOriginRequest& aRequest, StreamOriginHandler aFound)
{
  const auto search = std::make_shared<Search>();
  search->reply.origin = this->Get(aRequest.stream);
  if (search->reply.origin) {
    aFound(search->reply);
    return;
  }
  search->survey.Add(this->versions.VersionsOf(aRequest.service, aRequest.maximumAge));
  KeyOwnerRequest request;
  request.key = OwnerKeyOf(ShardOf(aRequest.stream));
  request.message = EncodeMessage(
    StreamOriginQuery{ aRequest.stream, aRequest.service, aRequest.maximumAge.count() });
  request.onResponse = [search](std::string_view aResponse, bool /*aIsLate*/) {
    const auto answer = DecodeMessage<StreamOriginAnswer>(aResponse);
    if (!answer) {
      return KeyOwnerResponseStatus::Malformed;
    }
    const StreamOriginAnswer& known = answer.value();
    search->survey.Add({ known.isComplete, known.versionCount, known.version });
    if (!known.hasOrigin) {
      return KeyOwnerResponseStatus::AskNext;
    }
    search->reply.origin = StreamOrigin{ known.service, known.softwareVersion };
    return KeyOwnerResponseStatus::Completed;
  };
  request.onCompleted = [this, search, stream = aRequest.stream, found = std::move(aFound)] {
    if (search->reply.origin) {
      this->table.Record(stream, *search->reply.origin);
    } else {
      search->reply.soleVersion = search->survey.Sole();
    }
    found(search->reply);
  };
  this->query.Start(std::move(request));
}

} // namespace lagoonward
