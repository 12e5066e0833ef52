#include "Lagoonward/Attempts/CrashProbe.h"

#include <optional>
#include <utility>

namespace lagoonward {

namespace {

/// Longest wait for the result of a connection attempt: an endpoint that refuses connections does so within a few
/// milliseconds.
constexpr Milliseconds kWaitTimeout{ 50 };

} // namespace

/// One new connection to an endpoint, closed as soon as it is established.
class CrashProbe::ConnectionAttempt final : private HttpTransferObserver
{
public:
  ConnectionAttempt(CrashProbe& aOwner, std::string aAddress)
    : owner(aOwner)
    , address(std::move(aAddress))
  {
    HttpTransferRequest request;
    request.url = "http://" + this->address + "/";
    request.freshConnection = true;
    request.mayBeSent = [] { return false; };
    this->transfer = this->owner.loop.StartTransfer(request, *this);
    this->timer = this->owner.loop.RunAfter(kWaitTimeout, [this] {
      this->timer.reset();
      this->NotifyWaiting(false);
    });
  }

  ~ConnectionAttempt() override
  {
    if (this->transfer != 0) {
      this->owner.loop.CancelTransfer(this->transfer);
    }
    if (this->timer) {
      this->owner.loop.CancelTimer(*this->timer);
    }
  }

  ConnectionAttempt(const ConnectionAttempt&) = delete;
  ConnectionAttempt& operator=(const ConnectionAttempt&) = delete;

  /// @param aEvidence  may be empty
  void Add(std::vector<CrashEvidence> aEvidence, std::function<void(bool aIsDead)> aOnKnown)
  {
    this->lostConnections.push_back({ std::move(aEvidence), this->owner.loop.GetClock().Now() });
    this->waitingCallbacks.push_back(std::move(aOnKnown));
    if (!this->timer) {
      this->NotifyWaiting(false);
    }
  }

  /// Reports a crash for each lost connection if the endpoint is dead, then calls the waiting callbacks.
  void Settle(bool aIsDead)
  {
    const TimePoint now = this->owner.loop.GetClock().Now();
    for (LostConnection& each : this->lostConnections) {
      if (aIsDead) {
        const auto since = std::chrono::floor<Milliseconds>(now - each.at).count();
        for (CrashEvidence& evidence : each.evidence) {
          evidence.report.age += since;
          evidence.report.sentAge += since;
          evidence.filter->OnCrash(evidence.report);
        }
      }
    }
    this->NotifyWaiting(aIsDead);
  }

private:
  struct LostConnection
  {
    std::vector<CrashEvidence> evidence;
    TimePoint at;
  };

  /// Calls and removes the waiting callbacks.
  void NotifyWaiting(bool aIsDead)
  {
    for (const auto& onKnown : std::exchange(this->waitingCallbacks, {})) {
      onKnown(aIsDead);
    }
  }

  void OnBytes(int /*aStatus*/, std::string_view /*aBytes*/) override {}

  void OnEnd(const TransferEnd& aEnd) override
  {
    this->transfer = 0;
    this->owner.OnAttemptEnded(this->address, aEnd.isConnectionRefused);
  }

  CrashProbe& owner;
  std::string address;
  TransferId transfer = 0;
  std::optional<TrafficLoop::TimerId> timer; ///< Set until kWaitTimeout has passed.
  std::vector<LostConnection> lostConnections;
  std::vector<std::function<void(bool)>> waitingCallbacks;
};

CrashProbe::CrashProbe(TrafficLoop& aLoop)
  : loop(aLoop)
{
}

CrashProbe::~CrashProbe() = default;

void
CrashProbe::OnConnectionLost(const std::string& aAddress, std::vector<CrashEvidence> aEvidence,
                             std::function<void()> aOnKnown)
{
  this->AttemptAt(aAddress).Add(std::move(aEvidence),
                                [onKnown = std::move(aOnKnown)](bool /*aIsDead*/) { onKnown(); });
}

void
CrashProbe::CheckTerminated(const std::string& aAddress, std::function<void(bool aIsDead)> aOnKnown)
{
  this->AttemptAt(aAddress).Add({}, std::move(aOnKnown));
}

CrashProbe::ConnectionAttempt&
CrashProbe::AttemptAt(const std::string& aAddress)
{
  std::unique_ptr<ConnectionAttempt>& attempt = this->attempts[aAddress];
  if (attempt == nullptr) {
    attempt = std::make_unique<ConnectionAttempt>(*this, aAddress);
  }
  return *attempt;
}

void
CrashProbe::OnAttemptEnded(const std::string& aAddress, bool aIsDead)
{
  auto found = this->attempts.extract(aAddress);
  found.mapped()->Settle(aIsDead);
}

} // namespace lagoonward
