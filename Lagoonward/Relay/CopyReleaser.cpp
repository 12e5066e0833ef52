#include "Lagoonward/Relay/CopyReleaser.h"

#include "Lagoonward/Core/Log.h"

#include <fmt/format.h>

#include <utility>

namespace lagoonward {

namespace {

const Log kLog("relay");

/// The body of a reply says nothing; a longer one is not read to its end.
constexpr std::size_t kMaximumResponseBytes = 4096;

constexpr int kLowestSuccess = 200;
constexpr int kHighestSuccess = 299;

} // namespace

/// One call that frees a copy.
class CopyReleaser::Call final : private HttpTransferObserver
{
public:
  Call(CopyReleaser& aOwner, std::uint64_t aId, std::string_view aAddress, std::string_view aHandle)
    : owner(aOwner)
    , id(aId)
    , address(aAddress)
    , handle(aHandle)
  {
    HttpTransferRequest request;
    request.method = "DELETE";
    request.url = fmt::format("http://{}{}", aAddress, aOwner.dialect.writeRelease(aHandle));
    request.headers = { "Accept:" };
    // The reply names no copy, so no late reply to another request may be on the connection, nor this one stay there
    request.freshConnection = true;
    request.closesConnection = true;
    request.singleSend = true;
    request.timeout = aOwner.settings.releaseTimeout;
    this->transfer = aOwner.loop.StartTransfer(request, *this);
  }

  ~Call() override
  {
    if (this->transfer != 0) {
      this->owner.loop.CancelTransfer(this->transfer);
    }
  }

  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  [[nodiscard]] const std::string& Address() const { return this->address; }
  [[nodiscard]] const std::string& Handle() const { return this->handle; }

private:
  void OnBytes(int /*aStatus*/, std::string_view aBytes) override
  {
    this->receivedBytes += aBytes.size();
    if (this->receivedBytes > kMaximumResponseBytes) {
      this->owner.loop.StopTransfer(this->transfer);
    }
  }

  void OnEnd(const TransferEnd& aEnd) override
  {
    this->transfer = 0;
    this->owner.OnReleaseEnded(this->id, aEnd); // Destroys this object
  }

  CopyReleaser& owner;
  std::uint64_t id;
  std::string address;
  std::string handle;
  TransferId transfer = 0;
  std::size_t receivedBytes = 0;
};

CopyReleaser::CopyReleaser(TrafficLoop& aLoop, const AnyEndpointDialect& aDialect,
                           const RelaySettings& aSettings)
  : loop(aLoop)
  , dialect(aDialect)
  , settings(aSettings)
{
}

CopyReleaser::~CopyReleaser() = default;

void
CopyReleaser::Release(std::string_view aAddress, std::string_view aHandle)
{
  if (this->calls.size() >= this->settings.maximumReleases) {
    ++this->counts.dropped;
    kLog.Event(LogLevel::Warning, "copy_release_dropped",
               { { "endpoint", aAddress },
                 { "handle", aHandle },
                 { "in_progress", this->calls.size() },
                 { "maximum", this->settings.maximumReleases } });
    return;
  }
  const std::uint64_t id = this->nextId++;
  this->calls.emplace(id, std::make_unique<Call>(*this, id, aAddress, aHandle));
}

void
CopyReleaser::OnReleaseEnded(std::uint64_t aId, const TransferEnd& aEnd)
{
  const auto ended = this->calls.extract(aId);
  const Call& call = *ended.mapped();
  const bool isComplete = aEnd.outcome == TransferOutcome::Complete;
  if (isComplete && aEnd.status >= kLowestSuccess && aEnd.status <= kHighestSuccess) {
    ++this->counts.released;
    kLog.Event(LogLevel::Debug, "copy_released",
               { { "endpoint", call.Address() }, { "handle", call.Handle() } });
    return;
  }
  ++this->counts.failed;
  kLog.Event(LogLevel::Warning, "copy_release_failed",
             { { "endpoint", call.Address() },
               { "handle", call.Handle() },
               { "expected", fmt::format("status {} to {}", kLowestSuccess, kHighestSuccess) },
               { "status", aEnd.status },
               { "reason", isComplete ? std::string() : aEnd.message } });
}

void
CopyReleaser::Adopt(std::unique_ptr<RelayMove> aMove, std::string aAddress)
{
  if (this->moves.size() >= this->settings.maximumAdoptedMoves) {
    ++this->counts.cancelled;
    kLog.Event(LogLevel::Warning, "move_reply_not_awaited",
               { { "endpoint", aAddress },
                 { "in_progress", this->moves.size() },
                 { "maximum", this->settings.maximumAdoptedMoves } });
    return;
  }
  const std::uint64_t id = this->nextId++;
  aMove->SetDone([this, id](const MoveResult& aEnd) { this->OnMoveEnded(id, aEnd); });
  this->moves.emplace(id, AdoptedMove{ std::move(aMove), std::move(aAddress) });
}

void
CopyReleaser::OnMoveEnded(std::uint64_t aId, const MoveResult& aEnd)
{
  const auto ended = this->moves.extract(aId);
  const std::string& address = ended.mapped().address;
  if (!aEnd.handle.empty()) {
    this->Release(address, aEnd.handle);
  } else if (aEnd.stopState == StopState::NotStopped) {
    ++this->counts.withoutCopy;
  } else {
    // There may be a copy, but it can't be named
    ++this->counts.unknown;
    kLog.Event(LogLevel::Warning, "copy_unknown",
               { { "endpoint", address }, { "expected", "a handle" }, { "reason", aEnd.reason } });
  }
}

} // namespace lagoonward
