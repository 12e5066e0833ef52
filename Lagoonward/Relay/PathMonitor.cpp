#include "Lagoonward/Relay/PathMonitor.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("endpoints");

} // namespace

/// One connection attempt to an endpoint; no request is sent on it.
class PathMonitor::Probe final : private HttpTransferObserver
{
public:
  Probe(PathMonitor& aOwner, const Endpoint& aEndpoint)
    : owner(aOwner)
  {
    HttpTransferRequest request;
    request.url = fmt::format("http://{}:{}/", aEndpoint.address, aEndpoint.port);
    request.freshConnection = true;
    request.mayBeSent = [] { return false; };
    request.timeout = aOwner.settings.probeTimeout;
    this->transfer = this->owner.loop.StartTransfer(request, *this);
  }

  ~Probe() override
  {
    if (this->transfer != 0) {
      this->owner.loop.CancelTransfer(this->transfer);
    }
  }

  Probe(const Probe&) = delete;
  Probe& operator=(const Probe&) = delete;

private:
  void OnBytes(int /*aStatus*/, std::string_view /*aBytes*/) override {}

  void OnEnd(const TransferEnd& aEnd) override
  {
    this->transfer = 0;
    // The request is withheld only once a connection has been established
    this->owner.OnProbeEnded(aEnd.isWithheld);
  }

  PathMonitor& owner;
  TransferId transfer = 0;
};

PathMonitor::PathMonitor(const PathMonitorSettings& aSettings, TrafficLoop& aLoop,
                         const FleetStore& aFleet, std::function<void()> aOnReturned)
  : settings(aSettings)
  , loop(aLoop)
  , fleet(aFleet)
  , onReturned(std::move(aOnReturned))
  , lastBytes(aLoop.GetClock().Now())
  , lastRound(TimePoint::min())
{
}

PathMonitor::~PathMonitor() = default;

void
PathMonitor::Start()
{
  this->loop.RunAfter(this->settings.checkInterval, [this] { this->Check(); });
}

void
PathMonitor::OnSent()
{
  if (this->outstanding++ == 0) {
    this->lastBytes = this->loop.GetClock().Now();
  }
}

void
PathMonitor::OnBytes()
{
  this->lastBytes = this->loop.GetClock().Now();
}

void
PathMonitor::OnEnded()
{
  this->outstanding = std::max(this->outstanding - 1, 0);
}

void
PathMonitor::OnUnreachable(const std::string& aEndpoint)
{
  this->failures[aEndpoint] = this->loop.GetClock().Now();
}

void
PathMonitor::Check()
{
  this->loop.RunAfter(this->settings.checkInterval, [this] { this->Check(); });
  if (!this->probes.empty()) {
    return;
  }
  const TimePoint now = this->loop.GetClock().Now();
  const Milliseconds interval =
    this->isLost ? this->settings.lostInterval : this->settings.suspicionInterval;
  const bool isDue = this->lastRound == TimePoint::min() || now - this->lastRound >= interval;
  if (isDue && (this->isLost || this->IsSuspicious())) {
    this->BeginRound();
  }
}

bool
PathMonitor::IsSuspicious()
{
  const TimePoint now = this->loop.GetClock().Now();
  std::erase_if(this->failures, [&](const auto& aEach) {
    return now - aEach.second > this->settings.failureWindow;
  });
  const std::size_t endpoints = this->fleet.Get()->endpoints.size();
  const std::size_t needed = std::min(this->settings.suspiciousEndpoints, endpoints);
  const bool isSilent = this->outstanding > 0 && now - this->lastBytes > this->settings.silence;
  return endpoints > 0 && (this->failures.size() >= needed || isSilent);
}

void
PathMonitor::BeginRound()
{
  this->lastRound = this->loop.GetClock().Now();
  this->endedProbes = 0;
  this->successfulProbes = 0;
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  std::vector<const Endpoint*> candidates;
  for (const Endpoint& endpoint : snapshot->endpoints) {
    if (endpoint.state == EndpointState::Live) {
      candidates.push_back(&endpoint);
    }
  }
  // Random ones, so that a failed failure domain is not taken for a lost path
  for (std::size_t index = 0;
       index < candidates.size() && this->probes.size() < this->settings.probedEndpoints; ++index) {
    this->random = CombineHashes(this->random, index);
    std::swap(candidates[index], candidates[index + this->random % (candidates.size() - index)]);
    this->probes.push_back(std::make_unique<Probe>(*this, *candidates[index]));
  }
}

void
PathMonitor::OnProbeEnded(bool aSucceeded)
{
  ++this->endedProbes;
  this->successfulProbes += aSucceeded ? 1 : 0;
  if (this->endedProbes == this->probes.size()) {
    // A probe may not be destroyed while it reports its end
    this->loop.Post([this] { this->OnRoundEnded(); });
  }
}

void
PathMonitor::OnRoundEnded()
{
  const std::size_t probed = this->probes.size();
  this->probes.clear();
  this->failures.clear();
  const bool wasLost = this->isLost;
  const double connected = static_cast<double>(this->successfulProbes) /
                           static_cast<double>(std::max<std::size_t>(probed, 1));
  const bool lost =
    wasLost ? connected <= this->settings.returnedAbove : connected < this->settings.lostBelow;
  if (wasLost && !lost) {
    // Before requests come back to this daemon's own connections
    this->onReturned();
  }
  this->isLost = lost;
  if (lost != wasLost) {
    kLog.Event(lost ? LogLevel::Warning : LogLevel::Info, lost ? "path_lost" : "path_returned",
               { { "probed", probed }, { "connected", this->successfulProbes } });
  }
}

} // namespace lagoonward
