#include "Bench/ControlFleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <thread>

namespace lagoonward::bench {

namespace {

constexpr Milliseconds kPropagationTimeout{ 10000 };
constexpr Milliseconds kDetectionTimeout{ 20000 };
constexpr std::string_view kBenchKey =
  "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
constexpr Milliseconds kReclaimGrace{ 30000 };

std::string
RegionName(std::size_t aRegion)
{
  return fmt::format("region-{}", aRegion);
}

} // namespace

void
PropagationTracker::Begin(std::size_t aDaemons, const Clock& aClock)
{
  const std::lock_guard lock(this->mutex);
  this->arrivalTimes.assign(aDaemons, -1);
  this->pendingArrivals = aDaemons;
  this->startTime = aClock.Now();
}

void
PropagationTracker::RecordArrival(std::size_t aDaemon, const Clock& aClock)
{
  const std::lock_guard lock(this->mutex);
  if (aDaemon < this->arrivalTimes.size() && this->arrivalTimes[aDaemon] < 0) {
    this->arrivalTimes[aDaemon] =
      std::chrono::duration<double, std::milli>(aClock.Now() - this->startTime).count();
    --this->pendingArrivals;
  }
}

std::vector<double>
PropagationTracker::WaitForAll(Milliseconds aTimeout)
{
  constexpr Milliseconds kStep{ 5 };
  for (Milliseconds waited{ 0 }; this->pendingArrivals > 0 && waited < aTimeout; waited += kStep) {
    std::this_thread::sleep_for(kStep);
  }
  const std::lock_guard lock(this->mutex);
  std::vector<double> times;
  for (const double time : this->arrivalTimes) {
    if (time >= 0) {
      times.push_back(time);
    }
  }
  this->arrivalTimes.clear();
  return times;
}

ControlFleet::ControlFleet(FleetSize aSize)
  : size(aSize)
  , loads(this->clock, SyntheticLoadSettings())
{
}

ControlFleet::~ControlFleet()
{
  for (const auto& daemon : this->daemons) {
    daemon->Stop();
  }
}

Result<void>
ControlFleet::Start()
{
  const auto keys = KeyRing::Parse(kBenchKey, "bench");
  if (!keys) {
    return keys.error();
  }
  const auto session = static_cast<std::uint64_t>(ToUnixMilliseconds(this->clock.WallNow()));
  for (std::size_t index = 0; index < this->size.daemons; ++index) {
    const std::size_t region = index % this->size.regions;
    MembershipIdentity identity;
    identity.self = { fmt::format("daemon-{:04}", index), "127.0.0.1", 0,
                      fmt::format("{}-domain-{}", RegionName(region),
                                  index / this->size.regions % 2),
                      RegionName(region) };
    identity.session = session;
    auto daemon = std::make_unique<MembershipService>(
      this->clock, identity, keys.value(), MembershipSettings(),
      [this](const HostEntry& aEndpoint, const MembershipService::PollDone& aDone) {
        aDone(this->loads.Read(aEndpoint.id));
      });

    // Record the arrival of the changes that the measurements wait for
    daemon->OnState([this, index](const SharedState&) {
      this->tracker.RecordArrival(index, this->clock);
      return true;
    });
    daemon->OnEndpoints([this, index, service = daemon.get()] {
      const std::lock_guard lock(this->expectationMutex);
      const auto& facts = service->Loads().Facts();
      const bool allLeaving = std::all_of(
        this->expectedLeaving.begin(), this->expectedLeaving.end(), [&](EndpointKey aKey) {
          const auto fact = facts.find(aKey);
          return fact != facts.end() && fact->second.state == EndpointState::Leaving;
        });
      if (this->expectedHost != 0 && facts.contains(this->expectedHost)) {
        this->tracker.RecordArrival(index / this->size.regions, this->clock);
      }
      if (allLeaving && !this->expectedLeaving.empty()) {
        this->tracker.RecordArrival(index / this->size.regions, this->clock);
      }
    });
    daemon->OnPeers([this, index](const PeerViewPtr& aView) {
      const std::lock_guard lock(this->expectationMutex);
      if (this->expectedRemoval != 0 && aView->Find(this->expectedRemoval) == nullptr) {
        this->tracker.RecordArrival(index, this->clock);
      }
    });
    auto started = daemon->Start();
    if (!started) {
      return started;
    }
    this->daemons.push_back(std::move(daemon));
  }
  const auto hosts = this->MakeHosts();
  for (const auto& daemon : this->daemons) {
    daemon->ApplyHostList(hosts);
    daemon->Loop().Run([] {});
  }
  return boost::outcome_v2::success();
}

void
ControlFleet::Kill(std::size_t aDaemon)
{
  this->daemons[aDaemon]->Stop();
}

MembershipService&
ControlFleet::Daemon(std::size_t aIndex)
{
  return *this->daemons[aIndex];
}

std::size_t
ControlFleet::Size() const
{
  return this->daemons.size();
}

const Clock&
ControlFleet::GetClock() const
{
  return this->clock;
}

std::vector<ControlUsage>
ControlFleet::Usage()
{
  std::vector<ControlUsage> usage(this->daemons.size());
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    MembershipService& daemon = *this->daemons[index];
    daemon.Loop().Run([&] {
      usage[index] = {
        daemon.Counters(), daemon.Loop().CpuTime(), daemon.Loads().PolledCount(), {}
      };
      for (const auto& [key, fact] : daemon.Loads().Facts()) {
        if (fact.load) {
          const auto age = this->clock.Now() - fact.observedAt;
          usage[index].loadAges.push_back(std::chrono::duration<double, std::milli>(age).count());
        }
      }
    });
  }
  return usage;
}

std::vector<double>
ControlFleet::MeasureReclaimPropagation(std::span<const std::size_t> aIndexes)
{
  const std::size_t daemonsInRegion =
    (this->size.daemons + this->size.regions - 1) / this->size.regions;
  std::vector<std::string> ids;
  for (const std::size_t index : aIndexes) {
    ids.push_back(this->EndpointId(index * this->size.regions));
  }
  this->tracker.Begin(daemonsInRegion, this->clock);
  {
    const std::lock_guard lock(this->expectationMutex);
    for (const std::string& id : ids) {
      this->expectedLeaving.push_back(ToEndpointKey(id));
    }
  }
  for (const std::string& id : ids) {
    this->daemons[0]->ReportEndpoint(id, EndpointState::Leaving, kReclaimGrace);
  }
  auto times = this->tracker.WaitForAll(kPropagationTimeout);
  const std::lock_guard lock(this->expectationMutex);
  this->expectedLeaving.clear();
  return times;
}

std::vector<double>
ControlFleet::MeasureStatePropagation(std::size_t aDaemon, std::size_t aBytes)
{
  this->tracker.Begin(this->daemons.size(), this->clock);
  this->tracker.RecordArrival(aDaemon, this->clock);
  this->daemons[aDaemon]->PublishState(this->NextState(aBytes));
  return this->tracker.WaitForAll(kPropagationTimeout);
}

std::vector<double>
ControlFleet::MeasureLogPropagation(std::size_t aBytes)
{
  // A separate thread per daemon waits for the record, like the long poll of a log reader
  std::mutex mutex;
  std::condition_variable appended;
  std::optional<SharedState> record;
  std::vector<std::thread> readers;
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    readers.emplace_back([&, index] {
      std::unique_lock lock(mutex);
      appended.wait(lock, [&] { return record.has_value(); });
      SharedState state = *record;
      lock.unlock();
      MembershipService& daemon = *this->daemons[index];
      daemon.PublishState(std::move(state));
      daemon.Loop().Run([&] { this->tracker.RecordArrival(index, this->clock); });
    });
  }
  this->tracker.Begin(this->daemons.size(), this->clock);
  {
    const std::lock_guard lock(mutex);
    record = this->NextState(aBytes);
  }
  appended.notify_all();
  auto times = this->tracker.WaitForAll(kPropagationTimeout);
  for (std::thread& reader : readers) {
    reader.join();
  }
  return times;
}

std::vector<double>
ControlFleet::MeasureHostPropagation()
{
  const std::size_t daemonsInRegion =
    (this->size.daemons + this->size.regions - 1) / this->size.regions;
  HostEntry host;
  host.id = fmt::format("engine-added-{}", this->addedHosts.size());
  host.address = "127.0.0.1";
  host.region = RegionName(0);
  this->addedHosts.push_back(host);
  const auto hosts = this->MakeHosts();
  this->tracker.Begin(daemonsInRegion, this->clock);
  {
    const std::lock_guard lock(this->expectationMutex);
    this->expectedHost = ToEndpointKey(host.id);
  }
  for (std::size_t index = 0; index < this->daemons.size(); index += this->size.regions) {
    if (this->daemons[index]->IsHostListReader()) {
      this->daemons[index]->ApplyHostList(hosts);
    }
  }
  auto times = this->tracker.WaitForAll(kPropagationTimeout);
  const std::lock_guard lock(this->expectationMutex);
  this->expectedHost = 0;
  return times;
}

std::size_t
ControlFleet::SharedHostListBytes() const
{
  HostListDistribution distribution(this->clock, RegionName(0), HostListSettings());
  const auto state = distribution.OnRead(this->MakeHosts());
  return state ? state->bytes.size() : 0;
}

std::size_t
ControlFleet::PlaceRecords(std::size_t aPerSecond, Seconds aSpan)
{
  std::size_t placed = 0;
  const std::size_t rounds = aPerSecond * static_cast<std::size_t>(aSpan.count());
  for (std::size_t round = 0; round < rounds; ++round) {
    for (const auto& daemon : this->daemons) {
      SoftRecord record;
      record.keyHash = CombineHashes(++placed, 1);
      record.bodyHash = CombineHashes(placed, 2);
      record.streamId = "stream-0123456789abcdef";
      record.expiresIn = 60000;
      daemon->PlaceRecord(std::move(record));
    }
    std::this_thread::sleep_for(Milliseconds(1000 / aPerSecond));
  }
  return placed;
}

std::vector<double>
ControlFleet::MeasureFailureDetection(std::size_t aDaemon)
{
  this->tracker.Begin(this->daemons.size(), this->clock);
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    // Only daemons of the same region count: other regions receive the removal later, over inter-region links
    if (index == aDaemon || index % this->size.regions != aDaemon % this->size.regions) {
      this->tracker.RecordArrival(index, this->clock);
    }
  }
  {
    const std::lock_guard lock(this->expectationMutex);
    this->expectedRemoval = ToPeerKey(fmt::format("daemon-{:04}", aDaemon));
  }
  this->Kill(aDaemon);
  auto times = this->tracker.WaitForAll(kDetectionTimeout);
  const std::lock_guard lock(this->expectationMutex);
  this->expectedRemoval = 0;
  std::erase_if(times, [](double aTime) { return aTime < 1; });
  return times;
}

std::vector<HostEntry>
ControlFleet::MakeHosts() const
{
  std::vector<HostEntry> hosts;
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    const std::size_t region = index % this->size.regions;
    HostEntry host;
    host.id = fmt::format("daemon-{:04}", index);
    host.kind = HostEntry::Kind::Daemon;
    host.address = "127.0.0.1";
    host.port = this->daemons[index]->Transport().Port();
    host.region = RegionName(region);
    host.failureDomain = fmt::format("{}-domain-{}", host.region, index / this->size.regions % 2);
    host.machineClass = "entry-small";
    hosts.push_back(std::move(host));
  }
  for (std::size_t index = 0; index < this->size.endpoints; ++index) {
    const std::size_t region = index % this->size.regions;
    HostEntry host;
    host.id = this->EndpointId(index);
    host.kind = HostEntry::Kind::Engine;
    host.address = "127.0.0.1";
    host.port = 1;
    host.region = RegionName(region);
    host.failureDomain = fmt::format("{}-domain-{}", host.region, index / this->size.regions % 2);
    host.machineClass = "accelerator-8";
    hosts.push_back(std::move(host));
  }
  hosts.insert(hosts.end(), this->addedHosts.begin(), this->addedHosts.end());
  return hosts;
}

std::string
ControlFleet::EndpointId(std::size_t aIndex) const
{
  return fmt::format("engine-{:04}", aIndex);
}

SharedState
ControlFleet::NextState(std::size_t aBytes)
{
  return { "config/bench", ++this->lastVersion, std::string(aBytes, 'm') };
}

} // namespace lagoonward::bench
