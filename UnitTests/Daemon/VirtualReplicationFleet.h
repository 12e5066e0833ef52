#pragma once

#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/DaemonLink.h"
#include "Lagoonward/Daemon/EndpointReplicator.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lagoonward::replication_tests {

class VirtualFleet;

/// One daemon of a VirtualFleet: its replica of the endpoints, and how it follows the source.
class VirtualDaemon final : public DaemonLink
{
public:
  VirtualDaemon(VirtualFleet& aFleet, int aIndex, const std::string& aDomain);

  void OnRequest(RequestType aType, PeerTransport::RequestHandler aHandler) override;
  void Request(const PeerAddress& aTo, RequestType aType, std::string aBytes, Milliseconds aTimeout,
               PeerTransport::ResponseHandler aHandler) override;
  [[nodiscard]] PeerViewPtr Peers() const override;
  [[nodiscard]] std::optional<PeerAddress> AddressOf(PeerKey aPeer) const override;
  void Every(Milliseconds aInterval, std::function<void()> aTask) override;

  /// Starts a process without any state of an earlier one.
  void Start();

  /// Ends the process; messages that it has not sent yet are lost.
  void Kill();

  [[nodiscard]] bool IsRunning() const { return this->replicator != nullptr; }
  [[nodiscard]] EndpointReplicator& Replicator() { return *this->replicator; }
  [[nodiscard]] std::optional<EndpointState> StateOf(std::string_view aId);
  [[nodiscard]] PeerKey Key() const { return this->info.Key(); }

  PeerInfo info;
  bool reachesSource = true;

private:
  friend VirtualFleet;

  void RepeatAfter(Milliseconds aInterval, std::function<void()> aTask);
  /// Reads the source if its time has come, like platform::TopicFollower.
  void Follow();
  void Read(bool aIsFull, TimePoint aStartedAt);
  void Receive(PeerKey aSender, RequestType aType, const std::string& aBytes,
               PeerTransport::Responder aRespond);

  VirtualFleet& fleet;
  PeerViewPtr view;
  int life = 0; ///< Number of the process.
  std::map<RequestType, PeerTransport::RequestHandler> handlers;
  std::unique_ptr<EndpointReplicator> replicator;
  TimePoint freeToSendAt;              ///< Messages leave one after the other.
  bool isReading = false;              ///< A read has not been answered yet.
  std::optional<TimePoint> lastReadAt; ///< Start of the last read of this process.
  LogPosition next;                    ///< The source has been read below this version.
};

/// Daemons, the network between them and the source of the endpoints' records, in virtual time and on one thread.
class VirtualFleet
{
public:
  /// Adds daemons, the failure domains in turn, and starts them.
  VirtualFleet(int aDaemons, const std::vector<std::string>& aDomains);

  void After(std::chrono::nanoseconds aSpan, std::function<void()> aTask);
  void Run(Milliseconds aSpan);

  /// An endpoint writes a record to the source.
  void Write(const std::string& aId, const std::string& aText);
  /// An endpoint's entry is removed from the source.
  void Remove(const std::string& aId);

  /// From now on requests of one daemon do not reach the other, or do again.
  void SetBroken(const VirtualDaemon& aFrom, const VirtualDaemon& aTo, bool aIsBroken);

  [[nodiscard]] VirtualDaemon& OfRank(int aRank);

  /// Checks that no running daemon takes an endpoint for live that left longer ago than the age of its snapshot.
  /// @return what contradicts it; empty if nothing does
  [[nodiscard]] std::string FindFalseAge();

  /// Daemons that take an endpoint for live.
  [[nodiscard]] std::size_t CountLive(std::string_view aId);

  VirtualClock clock;
  EndpointReplicatorSettings settings;
  std::size_t largestMessage = 0; ///< Bytes of the largest request or reply so far.
  std::vector<std::unique_ptr<VirtualDaemon>> daemons;

private:
  friend VirtualDaemon;

  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<EndpointRecord> log;              ///< All records of the source, by version.
  std::map<std::string, EndpointRecord> newest; ///< Of those that exist, by id.
  std::map<std::string, TimePoint> leftAt;      ///< By id.
  std::set<std::pair<PeerKey, PeerKey>> broken; ///< Sender and receiver.
};

} // namespace lagoonward::replication_tests
