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

/// Where a daemon's messages go.
struct PeerAddress
{
  PeerKey key = 0;
  std::string address; ///< IPv4 number.
  std::uint16_t port = 0;
};

/// Kinds of requests between daemons. Numbers are part of the protocol.
enum class RequestType : std::uint16_t
{
  Join = 1,          ///< All that a new daemon needs to know.
  States = 2,        ///< Endpoint states and versions of shared states.
  SharedState = 3,   ///< One shared state, for example a market's configuration.
  Models = 4,        ///< The list of models behind a hash.
  SoftRecord = 5,    ///< Places or reads the soft record of a request.
  Claim = 6,         ///< A claim forwarded to the daemon that batches for its key.
  FirstForeign = 32, ///< Lowest number for subsystems that are not listed here.
};

/// What went over the wire so far, headers of IP, UDP and TCP estimated (28 bytes a datagram, 40 a
/// TCP write).
struct TransportCounters
{
  std::uint64_t datagramsSent = 0;
  std::uint64_t datagramsReceived = 0;
  std::uint64_t datagramsRefused = 0; ///< Malformed, foreign, replayed or not authentic.
  std::uint64_t datagramBytesSent = 0;
  std::uint64_t datagramBytesReceived = 0;
  std::uint64_t streamBytesSent = 0;
  std::uint64_t streamBytesReceived = 0;
  std::uint64_t requestsFailed = 0;
};

/// UDP datagrams and TCP requests between daemons, all of them authenticated. Lives on one
/// ControlLoop; every method but Respond callbacks is called there or before the loop starts.
///
/// A request travels on a connection kept open to that peer. When a request times out its connection
/// is closed, so that the next request opens a new one: an open connection may have gone silent for
/// good while new ones work.
class PeerTransport
{
public:
  /// Gives the answer to a request. May be called from any thread, once.
  using Respond = std::function<void(Result<std::string> aAnswer)>;
  using RequestHandler =
    std::function<void(PeerKey aSender, std::string_view aBytes, Respond aRespond)>;
  using DatagramHandler = std::function<void(PeerKey aSender, const Datagram& aDatagram)>;
  using AnswerHandler = std::function<void(Result<std::string> aAnswer)>;

  /// @param aSession  number that is higher at each start of this daemon, Unix milliseconds
  PeerTransport(ControlLoop& aLoop, const Clock& aClock, PeerKey aSelf, std::uint64_t aSession,
                KeyRing aKeys, PeerTransportSettings aSettings);
  ~PeerTransport();

  /// Binds UDP and TCP on the same port; port 0 takes a free one.
  [[nodiscard]] Result<void> Listen(const std::string& aAddress, std::uint16_t aPort);

  /// Closes every socket. Requests in progress end with PlatformUnavailable.
  void Close();

  void OnDatagram(DatagramHandler aHandler);
  void OnRequest(RequestType aType, RequestHandler aHandler);

  /// Sends and forgets. A datagram that would be too large is a bug and is dropped with a log line.
  void Send(const PeerAddress& aTo, const Datagram& aDatagram);

  /// Sends a request; the handler is called on the loop exactly once.
  /// Errors: DeadlineExceeded (no answer in time, may have been carried out), EndpointFailed
  /// (connection lost, may have been carried out), PlatformUnavailable (could not connect, was not
  /// carried out), or the error that the peer gave.
  void Request(const PeerAddress& aTo, RequestType aType, std::string aBytes, Milliseconds aTimeout,
               AnswerHandler aHandler);

  /// Port bound by Listen().
  [[nodiscard]] std::uint16_t Port() const;
  [[nodiscard]] const TransportCounters& Counters() const;

private:
  struct Pending
  {
    AnswerHandler handler;
    std::uint64_t connection = 0;
    ControlLoop::TimerId timer = 0;
  };

  struct Connection
  {
    std::unique_ptr<PeerConnection> stream;
    PeerKey peer = 0; ///< Whom requests on it go to; zero for an accepted one.
  };

  void ReadDatagrams();
  void TakeDatagram(std::string_view aBytes);
  void AcceptConnections();
  void PauseAccepting();
  [[nodiscard]] Result<std::uint64_t> ConnectTo(const PeerAddress& aTo);
  [[nodiscard]] Result<std::uint64_t> AddConnection(UniqueFd aSocket, PeerConnection::Side aSide,
                                                    PeerKey aPeer);
  void Serve(std::uint64_t aConnection, std::uint32_t aEvents);
  void Flush(std::uint64_t aConnection);
  void Transmit(std::uint64_t aConnection, const Frame& aFrame);
  void TakeFrame(std::uint64_t aConnection, const Frame& aFrame);
  void TakeRequest(std::uint64_t aConnection, const Frame& aFrame);
  void TakeAnswer(const Frame& aFrame);
  void CloseConnection(std::uint64_t aConnection);
  void Finish(std::uint64_t aRequest, Result<std::string> aAnswer);
  void Expire(std::uint64_t aRequest);
  void Sweep();
  [[nodiscard]] Respond MakeRespond(std::uint64_t aConnection, std::uint64_t aRequest);

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
  ReplayGuard replays;
  DatagramHandler datagramHandler;
  std::unordered_map<std::uint16_t, RequestHandler> requestHandlers;
  std::unordered_map<std::uint64_t, Connection> connections; ///< By number.
  std::unordered_map<PeerKey, std::uint64_t> outgoing;       ///< Connection for requests to a peer.
  std::unordered_map<std::uint64_t, Pending> pending; ///< Requests without an answer, by number.
  TransportCounters counters;
  ControlLoop::TimerId sweepTimer = 0;
};

} // namespace lagoonward
