#include "Lagoonward/Attempts/CrashCheck.h"

#include <utility>

namespace lagoonward {

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
  }

  ~Look() override
  {
    if (this->transfer != 0) {
      this->owner.loop.CancelTransfer(this->transfer);
    }
  }

  Look(const Look&) = delete;
  Look& operator=(const Look&) = delete;

  void Add(PoisonGuard& aGuard, const CrashReport& aReport, std::function<void()> aKnown)
  {
    this->lost.push_back(
      { &aGuard, aReport, this->owner.loop.GetClock().Now(), std::move(aKnown) });
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
    for (const Lost& each : this->lost) {
      if (each.known) {
        each.known();
      }
    }
  }

private:
  struct Lost
  {
    PoisonGuard* guard = nullptr;
    CrashReport report;
    TimePoint at;
    std::function<void()> known;
  };

  void OnBytes(int /*aStatus*/, std::string_view /*aBytes*/) override {}

  void OnEnd(const TransferEnd& aEnd) override
  {
    this->transfer = 0;
    this->owner.OnLooked(this->address, aEnd.isConnectionRefused);
  }

  CrashCheck& owner;
  std::string address;
  TransferId transfer = 0;
  std::vector<Lost> lost;
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
