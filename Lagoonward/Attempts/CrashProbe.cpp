#include "Lagoonward/Attempts/CrashProbe.h"

#include <optional>
#include <utility>

namespace lagoonward {

/// One or two new connections to an endpoint, each closed as soon as it is established.
class CrashProbe::Check final : private HttpTransferObserver
{
public:
  Check(CrashProbe& aOwner, std::string aAddress)
    : owner(aOwner)
    , address(std::move(aAddress))
  {
    this->Connect();
    this->waitTimer = this->owner.loop.RunAfter(this->owner.settings.waitTimeout, [this] {
      this->waitTimer.reset();
      this->NotifyWaiting(false);
    });
  }

  ~Check() override
  {
    if (this->transfer != 0) {
      this->owner.loop.CancelTransfer(this->transfer);
    }
    for (const auto& timer : { this->waitTimer, this->repeatTimer }) {
      if (timer) {
        this->owner.loop.CancelTimer(*timer);
      }
    }
  }

  Check(const Check&) = delete;
  Check& operator=(const Check&) = delete;

  /// @param aEvidence  may be empty
  void Add(std::vector<CrashEvidence> aEvidence, std::function<void(bool aIsDead)> aOnKnown)
  {
    this->lostConnections.push_back({ std::move(aEvidence), this->owner.loop.GetClock().Now() });
    this->waitingCallbacks.push_back(std::move(aOnKnown));
    if (!this->waitTimer) {
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

  void Connect()
  {
    HttpTransferRequest request;
    request.url = "http://" + this->address + "/";
    request.freshConnection = true;
    request.mayBeSent = [] { return false; };
    this->transfer = this->owner.loop.StartTransfer(request, *this);
  }

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
    const bool isAccepted = aEnd.isWithheld;
    if (!isAccepted || std::exchange(this->hasRepeated, true)) {
      this->owner.OnCheckEnded(this->address, aEnd.isConnectionRefused);
      return;
    }
    this->repeatTimer = this->owner.loop.RunAfter(this->owner.settings.repeatDelay, [this] {
      this->repeatTimer.reset();
      this->Connect();
    });
  }

  CrashProbe& owner;
  std::string address;
  TransferId transfer = 0;
  bool hasRepeated = false;
  std::optional<TrafficLoop::TimerId> waitTimer; ///< Set until the wait timeout has passed.
  std::optional<TrafficLoop::TimerId> repeatTimer;
  std::vector<LostConnection> lostConnections;
  std::vector<std::function<void(bool)>> waitingCallbacks;
};

CrashProbe::CrashProbe(TrafficLoop& aLoop, const CrashProbeSettings& aSettings)
  : loop(aLoop)
  , settings(aSettings)
{
}

CrashProbe::~CrashProbe() = default;

void
CrashProbe::OnConnectionLost(const std::string& aAddress, std::vector<CrashEvidence> aEvidence,
                             std::function<void()> aOnKnown)
{
  this->CheckOf(aAddress).Add(std::move(aEvidence),
                              [onKnown = std::move(aOnKnown)](bool /*aIsDead*/) { onKnown(); });
}

void
CrashProbe::CheckTerminated(const std::string& aAddress, std::function<void(bool aIsDead)> aOnKnown)
{
  this->CheckOf(aAddress).Add({}, std::move(aOnKnown));
}

CrashProbe::Check&
CrashProbe::CheckOf(const std::string& aAddress)
{
  std::unique_ptr<Check>& check = this->checks[aAddress];
  if (check == nullptr) {
    check = std::make_unique<Check>(*this, aAddress);
  }
  return *check;
}

void
CrashProbe::OnCheckEnded(const std::string& aAddress, bool aIsDead)
{
  auto found = this->checks.extract(aAddress);
  found.mapped()->Settle(aIsDead);
}

} // namespace lagoonward
