#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Membership/ControlLoop.h"
#include "Lagoonward/Membership/KeyRing.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Membership/PeerConnection.h"
#include "Lagoonward/Membership/PeerInfo.h"
#include "Lagoonward/Membership/ReplayWindow.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace lagoonward {

/// Destination of messages to a daemon.
struct PeerAddress
{
  PeerKey key = 0;
  std::string address; ///< IPv4 address in dotted decimal.
  std::uint16_t port = 0;
};

/// Kinds of requests between daemons. Numbers are part of the protocol.
enum class RequestType : std::uint16_t
{
  Join = 1,           ///< Initial state for a joining daemon.
  States = 2,         ///< Endpoint states and versions of shared states.
  SharedState = 3,    ///< One shared state, for example a market's configuration.
  Models = 4,         ///< The endpoint profile with a given hash.
  SoftRecord = 5,     ///< Stores or reads the soft record of a request.
  Claim = 6,          ///< A claim forwarded to the daemon that batches for its key.
  FirstExternal = 32, ///< First number for subsystems that are not listed here.
};

/// Traffic so far. Byte counts include an estimate for IP, UDP and TCP headers: 28 bytes per datagram,
/// 40 per TCP read or write.
struct TransportCounters
{
  std::uint64_t datagramsSent = 0;
  std::uint64_t datagramsReceived = 0;
  std::uint64_t datagramsRefused = 0; ///< Malformed, of another cluster, replayed or not authentic.
  std::uint64_t datagramBytesSent = 0;
  std::uint64_t datagramBytesReceived = 0;
  std::uint64_t streamBytesSent = 0;
  std::uint64_t streamBytesReceived = 0;
  std::uint64_t requestsFailed = 0;
  std::uint64_t tooLarge = 0; ///< Requests and responses that were not sent: longer than a frame.
};

/// Authenticated UDP datagrams and TCP requests between daemons. Every method is called on the
/// ControlLoop or before it starts; only Respond callbacks may be called from any thread.
///
/// Requests to a peer share one connection that stays open. When a request times out its connection is
/// closed, so that the next request opens a new one: an established connection may stop passing data
/// for good while new ones work.
class PeerTransport
{
public:
  /// Sends the response to a request. May be called from any thread, once.
  using Responder = std::function<void(Result<std::string> aResponse)>;
  using RequestHandler =
    std::function<void(PeerKey aSender, std::string_view aBytes, Responder aRespond)>;
  using DatagramHandler = std::function<void(PeerKey aSender, const Datagram& aDatagram)>;
  using ResponseHandler = std::function<void(Result<std::string> aResponse)>;

  /// @param aSession  number that increases with each start of this daemon, in Unix milliseconds
  PeerTransport(ControlLoop& aLoop, const Clock& aClock, PeerKey aSelf, std::uint64_t aSession,
                KeyRing aKeys, PeerTransportSettings aSettings);
  ~PeerTransport();

  /// Binds UDP and TCP on the same port; port 0 selects a free one.
  [[nodiscard]] Result<void> Listen(const std::string& aAddress, std::uint16_t aPort);

  /// Closes every socket. Pending requests fail: with EndpointFailed if their connection was established,
  /// else with PlatformUnavailable.
  void Close();

  void OnDatagram(DatagramHandler aHandler);
  void OnRequest(RequestType aType, RequestHandler aHandler);

  /// Sends without confirmation. A datagram over the maximum size is a bug; it is dropped and logged.
  void Send(const PeerAddress& aTo, const Datagram& aDatagram);

  /// Sends a request; the handler is called on the loop exactly once.
  /// Errors: DeadlineExceeded (no response in time, the request may have run), EndpointFailed
  /// (connection lost, may have run), PlatformUnavailable (could not connect, or the request is over MaximumBytes();
  /// has not run), or the error that the peer returned. EndpointFailed also if the response is over MaximumBytes().
  void Request(const PeerAddress& aTo, RequestType aType, std::string aBytes, Milliseconds aTimeout,
               ResponseHandler aHandler);

  /// Largest number of bytes of a request or a response.
  [[nodiscard]] std::size_t MaximumBytes() const;

  /// Port bound by Listen().
  [[nodiscard]] std::uint16_t Port() const;
  [[nodiscard]] const TransportCounters& Counters() const;

private:
  struct PendingRequest
  {
    ResponseHandler handler;
    std::uint64_t connection = 0;
    ControlLoop::TimerId timer = 0;
  };

  struct Connection
  {
    std::unique_ptr<PeerConnection> stream;
    PeerKey peer = 0; ///< Destination of the requests; zero for an accepted connection.
  };

  void ReadDatagrams();
  void HandleDatagram(std::string_view aBytes);
  void AcceptConnections();
  /// Closes the oldest accepted connection whose peer is not authenticated. @return false if there is none
  bool CloseUnauthenticated();
  void PauseAccepting();
  [[nodiscard]] Result<std::uint64_t> ConnectTo(const PeerAddress& aTo);
  [[nodiscard]] Result<std::uint64_t> AddConnection(UniqueFd aSocket, PeerConnection::Side aSide,
                                                    PeerKey aPeer);
  void HandleEvents(std::uint64_t aConnection, std::uint32_t aEvents);
  void Flush(std::uint64_t aConnection);
  void Transmit(std::uint64_t aConnection, const Frame& aFrame);
  void HandleFrame(std::uint64_t aConnection, const Frame& aFrame);
  void HandleRequest(std::uint64_t aConnection, const Frame& aFrame);
  /// Whether bytes fit into a frame. Counts and logs them if they do not.
  [[nodiscard]] bool CheckSize(std::string_view aWhat, std::uint16_t aType, std::size_t aBytes);
  void HandleResponse(const Frame& aFrame);
  void CloseConnection(std::uint64_t aConnection);
  void CompleteRequest(std::uint64_t aRequest, Result<std::string> aResponse);
  void OnRequestTimeout(std::uint64_t aRequest);
  void CloseExpiredConnections();
  [[nodiscard]] Responder MakeResponder(std::uint64_t aConnection, const Frame& aRequest);
  void Respond(std::uint64_t aConnection, Frame aFrame, std::uint16_t aRequestType);

  ControlLoop& loop;
  const Clock& clock;
  PeerKey self;
  std::uint64_t session;
  KeyRing keys;
  PeerTransportSettings settings;
  Log log;
  UniqueFd datagramSocket;
  UniqueFd listener;
  std::uint16_t port = 0;
  std::uint32_t nextSequence = 1;
  std::uint64_t nextConnection = 1;
  std::uint64_t nextRequest = 1;
  ReplayGuard replayGuard;
  DatagramHandler datagramHandler;
  std::unordered_map<std::uint16_t, RequestHandler> requestHandlers;
  std::unordered_map<std::uint64_t, Connection> connections; ///< By number.
  std::unordered_map<PeerKey, std::uint64_t> outgoing;       ///< Connection for requests to a peer.
  std::unordered_map<std::uint64_t, PendingRequest>
    pending; ///< Requests without a response yet, by number.
  TransportCounters counters;
  ControlLoop::TimerId expiryTimer = 0;
};

} // namespace lagoonward
