#include "Lagoonward/Wire/ConnectionTable.h"

#include "Lagoonward/Core/Log.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("connections");

/// Requests up to this size may use all of the memory.
constexpr std::size_t kSmallRequestBytes = 128U << 10U;
constexpr std::size_t kLargeNumerator = 3;
constexpr std::size_t kLargeDenominator = 4;

/// The parsed head has one copy for the handler and one for the endpoint.
constexpr std::size_t kHeadCopies = 2;
/// Objects of a request beside its text.
constexpr std::size_t kRequestOverhead = 4U << 10U;

constexpr Milliseconds kSweepInterval{ 500 };
/// Interval while idle connections could fill a large part of the memory with heads.
constexpr Milliseconds kPressureSweepInterval{ 50 };

/// Sweeps that have to find a head or body overdue. Counted, as a process that stood still would find any time passed although
/// the rest waits in the socket.
constexpr int kOverdueSweeps = 3;

std::size_t
RequestOverhead(std::size_t aHeadBytes)
{
  return kRequestOverhead + kHeadCopies * aHeadBytes;
}

/// Bytes that a connection has received since it was accepted, read or not. Nothing if the system does not tell.
std::optional<std::uint64_t>
BytesReceived(int aDescriptor)
{
  tcp_info info{};
  socklen_t length = sizeof(info);
  const int result = ::getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &length);
  constexpr std::size_t kNeeded =
    offsetof(tcp_info, tcpi_bytes_received) + sizeof(info.tcpi_bytes_received);
  if (result != 0 || length < kNeeded) {
    return std::nullopt;
  }
  return info.tcpi_bytes_received;
}

} // namespace

enum class ConnectionTable::Phase
{
  Idle,    ///< No request, or one whose request line is not complete.
  Head,    ///< The rest of the head is being received.
  Body,    ///< The body is being received.
  Handled, ///< The request is complete and may run.
};

class ConnectionTable::Connection
{
public:
  int descriptor = -1;
  Listener* listener = nullptr;
  Phase phase = Phase::Idle;
  TimePoint phaseBegin;
  TimePoint lastProgress;
  std::size_t bufferBytes = 0;     ///< Of the HTTP library's buffer, as far as it counts now.
  std::size_t usedBufferBytes = 0; ///< Of that buffer, what was ever used: it stays in memory.
  std::size_t requestBytes = 0;    ///< Of the request, outside of that buffer.
  std::size_t headBytes = 0;
  std::size_t missingHeadBytes = 0; ///< What the head may still come to; zero if none has begun.
  std::size_t bodyBytes = 0;        ///< What the body may come to.
  std::size_t receivedBytes = 0;    ///< Of the body.
  std::size_t progressMark = 0;     ///< `receivedBytes` at `lastProgress`.
  std::uint64_t consumedBytes =
    0; ///< What earlier requests took of the bytes that it has received.
  int overdueSweeps = 0;
  bool isLengthKnown = true;
  bool isClosing = false;
  bool isListedClosable = true;             ///< Which list of its listener it is in.
  std::list<Connection>::iterator position; ///< In that list.

  [[nodiscard]] std::size_t Bytes() const { return this->bufferBytes + this->requestBytes; }

  /// How much of the head or body is still to come at most.
  [[nodiscard]] std::size_t MissingBytes() const
  {
    return this->missingHeadBytes + this->bodyBytes -
           std::min(this->receivedBytes, this->bodyBytes);
  }

  [[nodiscard]] bool IsClosable() const
  {
    return this->phase != Phase::Handled && !this->isClosing;
  }
};

class ConnectionTable::Listener
{
public:
  ListenerSettings settings;
  Milliseconds headTimeout = HttpLimits().headTimeout;
  Milliseconds bodyTimeout = HttpLimits().bodyTimeout;
  std::list<Connection> closable; ///< The one without progress for longest first.
  std::list<Connection> others;   ///< Handled, or being closed.
  std::size_t closing = 0;        ///< Connections that are being closed.

  [[nodiscard]] std::size_t Count() const
  {
    return this->closable.size() + this->others.size() - this->closing;
  }

  /// Moves a connection to the end of the list in which it belongs.
  void Place(Connection& aConnection)
  {
    const bool wasClosable = aConnection.isListedClosable;
    aConnection.isListedClosable = aConnection.IsClosable();
    std::list<Connection>& from = wasClosable ? this->closable : this->others;
    std::list<Connection>& to = aConnection.isListedClosable ? this->closable : this->others;
    to.splice(to.end(), from, aConnection.position);
  }
};

/// The memory of a complete request.
class ConnectionTable::Hold
{
public:
  Hold(std::shared_ptr<ConnectionTable> aTable, std::size_t aBytes)
    : table(std::move(aTable))
    , bytes(aBytes)
  {
  }

  ~Hold()
  {
    const std::scoped_lock lock(this->table->mutex);
    this->table->held -= this->bytes;
  }

  Hold(const Hold&) = delete;
  Hold& operator=(const Hold&) = delete;

private:
  std::shared_ptr<ConnectionTable> table;
  std::size_t bytes;
};

ConnectionTable::ConnectionTable(const ConnectionTableSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

ConnectionTable::~ConnectionTable() = default;

ConnectionTable::Listener&
ConnectionTable::AddListener(const ListenerSettings& aSettings)
{
  const std::scoped_lock lock(this->mutex);
  Listener& added = this->listeners.emplace_back();
  added.settings = aSettings;
  return added;
}

void
ConnectionTable::SetTimeouts(Listener& aListener, Milliseconds aHead, Milliseconds aBody)
{
  const std::scoped_lock lock(this->mutex);
  aListener.headTimeout = aHead;
  aListener.bodyTimeout = aBody;
}

ConnectionTable::Connection&
ConnectionTable::Open(Listener& aListener, int aDescriptor)
{
  const std::scoped_lock lock(this->mutex);
  Connection& opened = aListener.closable.emplace_back();
  opened.descriptor = aDescriptor;
  opened.listener = &aListener;
  opened.position = std::prev(aListener.closable.end());
  opened.phaseBegin = this->clock.Now();
  opened.lastProgress = opened.phaseBegin;
  while (aListener.Count() > aListener.settings.maximumConnections && !aListener.closable.empty()) {
    this->Evict(aListener.closable.front());
  }
  // Many connections may come between two sweeps
  const bool isDue = opened.phaseBegin - this->idleBoundAt >= kPressureSweepInterval;
  if (isDue && this->MayIdleFillMemory()) {
    this->BoundIdle();
  }
  return opened;
}

void
ConnectionTable::Close(Connection& aConnection)
{
  const std::scoped_lock lock(this->mutex);
  this->SetBytes(aConnection, 0, 0);
  Listener& listener = *aConnection.listener;
  listener.closing -= aConnection.isClosing ? 1 : 0;
  (aConnection.isListedClosable ? listener.closable : listener.others).erase(aConnection.position);
}

void
ConnectionTable::OnHeadBegun(Connection& aConnection)
{
  const std::scoped_lock lock(this->mutex);
  this->SetPhase(aConnection, Phase::Head);
  aConnection.missingHeadBytes = aConnection.listener->settings.bufferBytes;
  this->SetBytes(aConnection, aConnection.listener->settings.bufferBytes, 0);
  if (!this->MakeRoom(aConnection)) {
    this->Evict(aConnection);
  }
}

bool
ConnectionTable::OnHeadReceived(Connection& aConnection, std::size_t aHeadBytes,
                                std::size_t aBodyBytes, bool aIsLengthKnown)
{
  const std::scoped_lock lock(this->mutex);
  this->SetPhase(aConnection, Phase::Body);
  aConnection.headBytes = aHeadBytes;
  aConnection.missingHeadBytes = 0;
  aConnection.bodyBytes = aBodyBytes;
  aConnection.isLengthKnown = aIsLengthKnown;
  aConnection.receivedBytes = 0;
  aConnection.progressMark = 0;
  aConnection.usedBufferBytes = std::max(aConnection.usedBufferBytes, aHeadBytes);
  this->SetBytes(aConnection, aConnection.usedBufferBytes, RequestOverhead(aHeadBytes));
  return !aConnection.isClosing && this->CanBodyFit(aConnection) && this->MakeRoom(aConnection);
}

bool
ConnectionTable::OnBodyReceived(Connection& aConnection, std::size_t aReceived, std::size_t aHeld)
{
  const std::scoped_lock lock(this->mutex);
  aConnection.receivedBytes = aReceived;
  if (aReceived - aConnection.progressMark >= this->settings.progressBytes) {
    aConnection.progressMark = aReceived;
    aConnection.lastProgress = this->clock.Now();
    aConnection.listener->Place(aConnection);
  }
  const std::size_t buffer =
    std::min(aConnection.headBytes + aReceived, aConnection.listener->settings.bufferBytes);
  aConnection.usedBufferBytes = std::max(aConnection.usedBufferBytes, buffer);
  this->SetBytes(aConnection, aConnection.usedBufferBytes,
                 RequestOverhead(aConnection.headBytes) + aHeld);
  return !aConnection.isClosing && this->MakeRoom(aConnection);
}

ConnectionTable::RequestHold
ConnectionTable::OnRequestReceived(Connection& aConnection)
{
  const std::scoped_lock lock(this->mutex);
  if (aConnection.isClosing) {
    return nullptr;
  }
  this->SetPhase(aConnection, Phase::Handled);
  const auto hold = std::make_shared<Hold>(this->shared_from_this(), aConnection.requestBytes);
  this->held += aConnection.requestBytes;
  this->SetBytes(aConnection, aConnection.usedBufferBytes, 0);
  return hold;
}

void
ConnectionTable::OnRequestEnded(Connection& aConnection)
{
  const std::scoped_lock lock(this->mutex);
  const auto all = aConnection.isLengthKnown ? std::nullopt : BytesReceived(aConnection.descriptor);
  aConnection.consumedBytes =
    all.value_or(aConnection.consumedBytes + aConnection.headBytes + aConnection.receivedBytes);
  aConnection.headBytes = 0;
  aConnection.missingHeadBytes = 0;
  aConnection.receivedBytes = 0;
  aConnection.bodyBytes = 0;
  aConnection.isLengthKnown = true;
  this->SetBytes(aConnection, aConnection.usedBufferBytes, 0);
  this->SetPhase(aConnection, Phase::Idle);
}

Milliseconds
ConnectionTable::Sweep()
{
  const std::scoped_lock lock(this->mutex);
  this->CloseOverdue();
  const bool mayIdleFillMemory = this->MayIdleFillMemory();
  if (mayIdleFillMemory) {
    this->BoundIdle();
  }
  this->LogClosed();
  return mayIdleFillMemory ? kPressureSweepInterval : kSweepInterval;
}

void
ConnectionTable::CloseOverdue()
{
  const TimePoint now = this->clock.Now();
  for (Listener& listener : this->listeners) {
    for (auto next = listener.closable.begin(); next != listener.closable.end();) {
      Connection& each = *next++;
      if (this->IsOverdue(each, now)) {
        this->Evict(each);
      }
    }
  }
}

std::size_t
ConnectionTable::MaximumBodyBytes() const
{
  const std::size_t all = this->MaximumFor(this->settings.maximumRequestMemory);
  return all - std::min(all, RequestOverhead(0));
}

std::size_t
ConnectionTable::Held() const
{
  const std::scoped_lock lock(this->mutex);
  return this->held;
}

std::uint64_t
ConnectionTable::Closed() const
{
  const std::scoped_lock lock(this->mutex);
  return this->closed;
}

void
ConnectionTable::SetPhase(Connection& aConnection, Phase aPhase)
{
  aConnection.phase = aPhase;
  aConnection.phaseBegin = this->clock.Now();
  aConnection.lastProgress = aConnection.phaseBegin;
  aConnection.overdueSweeps = 0;
  aConnection.listener->Place(aConnection);
}

void
ConnectionTable::SetBytes(Connection& aConnection, std::size_t aBuffer, std::size_t aRequest)
{
  const std::size_t before = aConnection.Bytes();
  aConnection.bufferBytes = aBuffer;
  aConnection.requestBytes = aRequest;
  this->held = this->held - before + aConnection.Bytes();
  if (aConnection.isClosing) {
    this->closingHeld = this->closingHeld - before + aConnection.Bytes();
  }
}

std::size_t
ConnectionTable::MaximumFor(std::size_t aRequestBytes) const
{
  const std::size_t all = this->settings.maximumRequestMemory;
  return aRequestBytes > kSmallRequestBytes ? all / kLargeDenominator * kLargeNumerator : all;
}

bool
ConnectionTable::MakeRoom(Connection& aConnection)
{
  while (this->held - this->closingHeld > this->MaximumFor(aConnection.Bytes())) {
    Connection* const victim = this->SelectVictim();
    if (victim == nullptr || victim == &aConnection) {
      return false;
    }
    this->Evict(*victim);
  }
  return true;
}

bool
ConnectionTable::CanBodyFit(const Connection& aConnection) const
{
  if (!aConnection.isLengthKnown || aConnection.bodyBytes <= kSmallRequestBytes) {
    return true;
  }
  std::size_t releasable = this->closingHeld;
  for (const Listener& listener : this->listeners) {
    for (const Connection& each : listener.closable) {
      releasable += each.Bytes();
    }
  }
  const std::size_t needed = RequestOverhead(aConnection.headBytes) + aConnection.bodyBytes;
  return this->held - releasable + needed <= this->MaximumFor(needed);
}

ConnectionTable::Connection*
ConnectionTable::SelectVictim()
{
  const TimePoint now = this->clock.Now();
  const auto rank = [this, now](const Connection& aConnection) {
    const bool isStalled = now - aConnection.lastProgress >= this->settings.stallTime;
    return std::make_tuple(isStalled, isStalled ? aConnection.Bytes() : aConnection.MissingBytes(),
                           now - aConnection.lastProgress);
  };
  Connection* victim = nullptr;
  for (Listener& listener : this->listeners) {
    for (Connection& each : listener.closable) {
      if (each.Bytes() > 0 && (victim == nullptr || rank(*victim) < rank(each))) {
        victim = &each;
      }
    }
  }
  return victim;
}

void
ConnectionTable::Evict(Connection& aConnection)
{
  // What it has received before may still be read
  if (aConnection.isClosing) {
    return;
  }
  aConnection.isClosing = true;
  ++aConnection.listener->closing;
  this->closingHeld += aConnection.Bytes();
  ++this->closed;
  aConnection.listener->Place(aConnection);
  // The server notices on its own thread, and closes the connection
  ::shutdown(aConnection.descriptor, SHUT_RDWR);
}

bool
ConnectionTable::IsOverdue(Connection& aConnection, TimePoint aNow) const
{
  if (aConnection.phase != Phase::Head && aConnection.phase != Phase::Body) {
    return false;
  }
  const Listener& owner = *aConnection.listener;
  const Milliseconds limit =
    aConnection.phase == Phase::Head ? owner.headTimeout : owner.bodyTimeout;
  // In milliseconds, since a limit of the operator may exceed what finer units can hold
  const bool isLate = std::chrono::floor<Milliseconds>(aNow - aConnection.phaseBegin) > limit;
  aConnection.overdueSweeps = isLate ? aConnection.overdueSweeps + 1 : 0;
  return aConnection.overdueSweeps >= kOverdueSweeps;
}

bool
ConnectionTable::MayIdleFillMemory() const
{
  std::size_t possible = 0;
  for (const Listener& listener : this->listeners) {
    possible += listener.closable.size() * listener.settings.bufferBytes;
  }
  return possible > this->settings.maximumRequestMemory / 2;
}

void
ConnectionTable::BoundIdle()
{
  this->idleBoundAt = this->clock.Now();
  this->MeasureIdle();
  while (this->held - this->closingHeld > this->settings.maximumRequestMemory) {
    Connection* const victim = this->SelectVictim();
    if (victim == nullptr) {
      break;
    }
    this->Evict(*victim);
  }
}

void
ConnectionTable::MeasureIdle()
{
  for (Listener& listener : this->listeners) {
    for (Connection& each : listener.closable) {
      const auto received =
        each.phase == Phase::Idle ? BytesReceived(each.descriptor) : std::nullopt;
      if (!received || *received <= each.consumedBytes) {
        continue;
      }
      const std::size_t unfinished =
        std::min<std::uint64_t>(*received - each.consumedBytes, listener.settings.bufferBytes);
      each.usedBufferBytes = std::max(each.usedBufferBytes, unfinished);
      each.missingHeadBytes = listener.settings.bufferBytes;
      this->SetBytes(each, each.usedBufferBytes, 0);
    }
  }
}

void
ConnectionTable::LogClosed()
{
  if (this->closed == this->loggedClosed) {
    return;
  }
  std::size_t open = 0;
  for (const Listener& listener : this->listeners) {
    open += listener.Count();
  }
  kLog.Event(LogLevel::Warning, "connections_closed",
             { { "count", this->closed - this->loggedClosed },
               { "open", open },
               { "request_bytes", this->held },
               { "maximum_request_bytes", this->settings.maximumRequestMemory } });
  this->loggedClosed = this->closed;
}

} // namespace lagoonward
