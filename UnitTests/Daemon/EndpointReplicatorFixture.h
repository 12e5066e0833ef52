#pragma once

#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/EndpointReplicator.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lagoonward::replication_tests {

/// Secret that the daemons share.
inline constexpr std::string_view kKey =
  "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
/// Longest wait for a condition.
inline constexpr Seconds kWaitLimit{ 20 };

/// Decodes a record whose text is the endpoint's state.
inline Result<Endpoint>
Decode(const EndpointRecord& aRecord)
{
  if (aRecord.text.empty()) {
    return Error(ErrorKind::InvalidRequest, "empty");
  }
  Endpoint endpoint;
  endpoint.id = aRecord.id;
  endpoint.name = "s";
  endpoint.state = aRecord.text == "leaving" ? EndpointState::Leaving : EndpointState::Live;
  return endpoint;
}

/// One daemon with its replica of the endpoints.
struct Daemon
{
  Daemon(const Clock& aClock, int aIndex, const std::string& aDomain,
         const EndpointReplicatorSettings& aSettings)
    : clock(aClock)
    , membership(aClock, Identity(aIndex, aDomain), KeyRing::Parse(kKey, "test").value(), {},
                 [](const HostEntry&, const MembershipService::PollDone&) {})
    , link(membership)
    , replicator(aSettings, link, Identity(aIndex, aDomain).self, Hooks(), aClock)
  {
    BOOST_TEST_REQUIRE(this->membership.Start().has_value());
    this->RunOnControlThread([this] { this->replicator.Start(); });
  }

  ~Daemon() { this->membership.Stop(); }

  static MembershipIdentity Identity(int aIndex, const std::string& aDomain)
  {
    MembershipIdentity identity;
    identity.self = { "daemon-" + std::to_string(aIndex), "127.0.0.1", 0, aDomain, "region" };
    identity.session = static_cast<std::uint64_t>(aIndex) + 1;
    return identity;
  }

  EndpointReplicatorHooks Hooks()
  {
    EndpointReplicatorHooks hooks;
    hooks.decode = &Decode;
    hooks.onChanged = [this] { ++this->changeCount; };
    hooks.configurationVersion = [this] { return this->configuration.load(); };
    return hooks;
  }

  template<typename Action>
  void RunOnControlThread(Action aAction)
  {
    this->membership.Loop().Run(aAction);
  }

  /// The source answers a read that began now.
  void CompleteRead(LogPosition aEndVersion)
  {
    this->RunOnControlThread(
      [&] { this->replicator.OnReadCompleted(this->clock.BootNow(), aEndVersion); });
  }

  /// The source answers a full read that began now.
  void CompleteFullRead(const std::vector<EndpointRecord>& aRecords, LogPosition aEndVersion)
  {
    this->RunOnControlThread([&] {
      this->replicator.OnFullRead(aRecords, aEndVersion);
      this->replicator.OnReadCompleted(this->clock.BootNow(), aEndVersion);
    });
  }

  [[nodiscard]] std::optional<EndpointState> StateOf(std::string_view aId)
  {
    std::optional<EndpointState> state;
    this->RunOnControlThread([&] {
      const FleetSnapshotPtr fleet = this->replicator.Snapshot();
      const Endpoint* endpoint = fleet->Find(aId);
      if (endpoint != nullptr) {
        state = endpoint->state;
      }
    });
    return state;
  }

  const Clock& clock;
  std::atomic<int> changeCount{ 0 };
  std::atomic<std::int64_t> configuration{ -1 };
  MembershipService membership;
  MembershipLink link;
  EndpointReplicator replicator;
};

/// Four daemons of one failure domain and one of another.
struct Fleet
{
  Fleet()
  {
    for (int index = 0; index < 5; ++index) {
      this->Add(index, index < 4 ? "a" : "b");
    }
    BOOST_TEST(this->Eventually([this] {
      return std::all_of(this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
        return aDaemon->membership.Peers()->peers.size() == 4;
      });
    }));
    BOOST_TEST(this->Eventually([this] { return this->FirstDomainDaemons().size() == 2; }));
  }

  Daemon& Add(int aIndex, const std::string& aDomain)
  {
    this->daemons.push_back(std::make_unique<Daemon>(this->clock, aIndex, aDomain, this->settings));
    HostEntry host;
    host.id = "daemon-" + std::to_string(aIndex);
    host.kind = HostEntry::Kind::Daemon;
    host.address = "127.0.0.1";
    host.port = this->daemons.back()->membership.Transport().Port();
    host.failureDomain = aDomain;
    host.region = "region";
    this->hosts.push_back(host);
    for (const auto& daemon : this->daemons) {
      daemon->membership.ApplyHostList(this->hosts);
    }
    return *this->daemons.back();
  }

  /// Adds a daemon to the first failure domain whose rank there is last, so that it is not an aggregator.
  Daemon& AddNonAggregator()
  {
    for (int index = 5;; ++index) {
      const PeerInfo last = Daemon::Identity(index, "a").self;
      const PeerViewPtr view = this->daemons[0]->membership.Peers();
      const AggregationPlan plan = MakeAggregationPlan(last, true, *view, {});
      // The view is the first daemon's own, which does not contain that daemon
      if (!plan.IsAggregator(last.Key()) && plan.ownAggregators.size() == 2) {
        return this->Add(index, "a");
      }
    }
  }

  template<typename Condition>
  bool Eventually(Condition aCondition)
  {
    constexpr Milliseconds kStep{ 10 };
    for (Milliseconds waited{ 0 }; waited < kWaitLimit; waited += kStep) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(kStep);
    }
    return false;
  }

  /// The daemon that reads the source for the whole deployment.
  Daemon& PrimaryReader()
  {
    const auto found =
      std::find_if(this->daemons.begin(), this->daemons.end(),
                   [](const auto& aDaemon) { return aDaemon->replicator.IsPrimaryReader(); });
    BOOST_REQUIRE(found != this->daemons.end());
    return **found;
  }

  /// Daemons of the first failure domain that are aggregators, or that are not.
  std::vector<Daemon*> FirstDomainDaemons(bool aIsAggregator = true)
  {
    std::vector<Daemon*> found;
    for (int index = 0; index < 4; ++index) {
      Daemon* daemon = this->daemons[static_cast<std::size_t>(index)].get();
      if (daemon->replicator.IsAggregator() == aIsAggregator) {
        found.push_back(daemon);
      }
    }
    return found;
  }

  SystemClock clock;
  EndpointReplicatorSettings settings;
  std::vector<HostEntry> hosts;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

/// A daemon reads one record after an empty full read.
inline void
ReadRecord(Daemon& aDaemon, const EndpointRecord& aRecord)
{
  aDaemon.RunOnControlThread([&] {
    aDaemon.replicator.OnFullRead({}, 0);
    aDaemon.replicator.OnRecord(aRecord);
    aDaemon.replicator.OnReadCompleted(aDaemon.clock.BootNow(), aRecord.version.Next());
  });
}

/// A daemon reads one more record.
inline void
ReadNextRecord(Daemon& aDaemon, const EndpointRecord& aRecord)
{
  aDaemon.RunOnControlThread([&] {
    aDaemon.replicator.OnRecord(aRecord);
    aDaemon.replicator.OnReadCompleted(aDaemon.clock.BootNow(), aRecord.version.Next());
  });
}

} // namespace lagoonward::replication_tests
