#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Wire/HttpLimits.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>

namespace lagoonward {

/// Settings of a ConnectionTable.
struct ConnectionTableSettings
{
  /// Memory of the requests of all servers together, from the first bytes of their heads until their last attempt has
  /// ended.
  std::size_t maximumRequestMemory = 64U << 20U;
  /// A request of which fewer than `progressBytes` arrive within this time counts as stalled.
  Milliseconds stallTime{ 2000 };
  std::size_t progressBytes = 4U << 10U;
};

/// What a ConnectionTable knows of a server.
struct ListenerSettings
{
  std::size_t maximumConnections = 4096;
  std::size_t bufferBytes = 16U << 10U; ///< Largest buffer of the HTTP library for one connection.
};

/// The connections that the servers of one process have accepted, and the memory that their requests occupy. Bounds both:
/// when a server has too many connections, or the requests of all servers need too much memory, connections are closed whose
/// request is not complete, so that none is closed whose request may run.
/// - For a descriptor: the connection without progress for longest, idle ones included.
/// - For memory: those that have stalled, the one that occupies most first; then the one of whose request most is still to
///   come. So a crowd that stops short of the end makes room, and small requests are served beside large ones.
/// Large requests leave a quarter of the memory to small ones. Thread-safe.
class ConnectionTable : public std::enable_shared_from_this<ConnectionTable>
{
public:
  /// One server.
  class Listener;
  /// One connection. Valid from Open() to Close().
  class Connection;

  /// Memory of a complete request, until the last copy of this pointer is gone.
  using RequestHold = std::shared_ptr<const void>;

  ConnectionTable(const ConnectionTableSettings& aSettings, const Clock& aClock);
  ~ConnectionTable();
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;

  /// Adds a server. It must close all its connections before this object is destroyed.
  [[nodiscard]] Listener& AddListener(const ListenerSettings& aSettings);

  /// Sets how long a head and a body may take at a server; see HttpLimits.
  void SetTimeouts(Listener& aListener, Milliseconds aHead, Milliseconds aBody);

  /// Adds an accepted connection. Closes another one if its server has too many.
  /// @param aDescriptor  must stay open until Close()
  [[nodiscard]] Connection& Open(Listener& aListener, int aDescriptor);
  /// Removes a connection whose descriptor is about to be closed.
  void Close(Connection& aConnection);

  /// The request line has been received: the head may fill the buffer.
  void OnHeadBegun(Connection& aConnection);

  /// The head is complete.
  /// @param aBodyBytes  what the body may come to; see `aIsLengthKnown`
  /// @param aIsLengthKnown  false if the head does not announce the length of the body
  /// @return false if there is no memory for the request
  [[nodiscard]] bool OnHeadReceived(Connection& aConnection, std::size_t aHeadBytes,
                                    std::size_t aBodyBytes, bool aIsLengthKnown);

  /// A part of the body was received.
  /// @param aReceived  bytes of the body so far
  /// @param aHeld      memory that the body occupies from now on
  /// @return false if there is no memory for it; then the request must be dropped
  [[nodiscard]] bool OnBodyReceived(Connection& aConnection, std::size_t aReceived,
                                    std::size_t aHeld);

  /// The request is complete. From now on its connection is not closed here.
  /// @return null if it is being closed already; then the request must be dropped
  [[nodiscard]] RequestHold OnRequestReceived(Connection& aConnection);

  /// The response has been sent, or the request has been dropped.
  void OnRequestEnded(Connection& aConnection);

  /// Closes connections whose head or body takes too long, and finds out about heads of which not even the first line is
  /// complete. To be called regularly.
  /// @return when to call it again
  Milliseconds Sweep();

  /// Largest body for which there is memory when there are no other requests.
  [[nodiscard]] std::size_t MaximumBodyBytes() const;
  /// Memory of all requests.
  [[nodiscard]] std::size_t Held() const;
  /// Connections that were closed for others, or because they took too long.
  [[nodiscard]] std::uint64_t Closed() const;

private:
  class Hold;
  enum class Phase;

  void SetPhase(Connection& aConnection, Phase aPhase);
  void SetBytes(Connection& aConnection, std::size_t aBuffer, std::size_t aRequest);
  /// How much memory all requests may occupy after one of this size has grown.
  [[nodiscard]] std::size_t MaximumFor(std::size_t aRequestBytes) const;
  /// Closes other connections until a request fits. @return false if it does not
  [[nodiscard]] bool MakeRoom(Connection& aConnection);
  /// Whether there is memory for an announced body beside the requests that may run.
  [[nodiscard]] bool CanBodyFit(const Connection& aConnection) const;
  /// @return the connection to close for its memory; null if none has any
  [[nodiscard]] Connection* SelectVictim();
  void Evict(Connection& aConnection);
  [[nodiscard]] bool IsOverdue(Connection& aConnection, TimePoint aNow) const;
  /// Whether idle connections could fill a large part of the memory with the beginnings of heads.
  [[nodiscard]] bool MayIdleFillMemory() const;
  /// Closes connections until the beginnings of heads fit into the memory.
  void BoundIdle();
  /// Adds what idle connections have received of a head to their buffers.
  void MeasureIdle();
  void CloseOverdue();
  void LogClosed();

  ConnectionTableSettings settings;
  const Clock& clock;
  mutable std::mutex mutex;
  std::list<Listener> listeners;
  std::size_t held = 0;        ///< Of all connections and holds.
  std::size_t closingHeld = 0; ///< Of that, what connections hold that are being closed.
  TimePoint idleBoundAt;       ///< Last time of BoundIdle().
  std::uint64_t closed = 0;
  std::uint64_t loggedClosed = 0;
};

} // namespace lagoonward
