#include "Lagoonward/Attempts/CrashCheck.h"

#include <optional>
#include <utility>

namespace lagoonward {

namespace {

/// Whoever waits for a look waits no longer: an endpoint that refuses connections does so within some milliseconds.
constexpr Milliseconds kPatience{ 50 };

} // namespace

/// One new connection to an endpoint, closed as soon as it stands.
class CrashCheck::Look final : private HttpTransferObserver
{
public:
  Look(CrashCheck& aOwner, std::string aAddress)
    : owner(aOwner)
    , address(std::move(aAddress))
  {
    HttpTransferRequest request;
    request.url = "http://" + this->address + "/";
    request.freshConnection = true;
    request.mayBeSent = [] { return false; };
    this->transfer = this->owner.loop.StartTransfer(request, *this);
    this->timer = this->owner.loop.RunAfter(kPatience, [this] {
      this->timer.reset();
      this->Release();
    });
  }

  ~Look() override
  {
    if (this->transfer != 0) {
      this->owner.loop.CancelTransfer(this->transfer);
    }
    if (this->timer) {
      this->owner.loop.CancelTimer(*this->timer);
    }
  }

  Look(const Look&) = delete;
  Look& operator=(const Look&) = delete;

  void Add(PoisonGuard& aGuard, const CrashReport& aReport, std::function<void()> aKnown)
  {
    this->lost.push_back({ &aGuard, aReport, this->owner.loop.GetClock().Now() });
    this->waiting.push_back(std::move(aKnown));
    if (!this->timer) {
      this->Release();
    }
  }

  /// Tells the guard where the endpoint is dead, then all who wait.
  void Settle(bool aIsDead)
  {
    const TimePoint now = this->owner.loop.GetClock().Now();
    for (Lost& each : this->lost) {
      if (aIsDead) {
        const auto since = std::chrono::floor<Milliseconds>(now - each.at).count();
        each.report.age += since;
        each.report.sentAge += since;
        each.guard->OnCrash(each.report);
      }
    }
    this->Release();
  }

private:
  struct Lost
  {
    PoisonGuard* guard = nullptr;
    CrashReport report;
    TimePoint at;
  };

  /// Lets those go on who wait.
  void Release()
  {
    for (const auto& known : std::exchange(this->waiting, {})) {
      known();
    }
  }

  void OnBytes(int /*aStatus*/, std::string_view /*aBytes*/) override {}

  void OnEnd(const TransferEnd& aEnd) override
  {
    this->transfer = 0;
    this->owner.OnLooked(this->address, aEnd.isConnectionRefused);
  }

  CrashCheck& owner;
  std::string address;
  TransferId transfer = 0;
  std::optional<TrafficLoop::TimerId> timer; ///< Until nobody waits any longer.
  std::vector<Lost> lost;
  std::vector<std::function<void()>> waiting;
};

CrashCheck::CrashCheck(TrafficLoop& aLoop)
  : loop(aLoop)
{
}

CrashCheck::~CrashCheck() = default;

void
CrashCheck::OnConnectionLost(PoisonGuard& aGuard, const std::string& aAddress,
                             const CrashReport& aReport, std::function<void()> aKnown)
{
  std::unique_ptr<Look>& look = this->looks[aAddress];
  if (look == nullptr) {
    look = std::make_unique<Look>(*this, aAddress);
  }
  look->Add(aGuard, aReport, std::move(aKnown));
}

void
CrashCheck::OnLooked(const std::string& aAddress, bool aIsDead)
{
  auto found = this->looks.extract(aAddress);
  found.mapped()->Settle(aIsDead);
}

} // namespace lagoonward
