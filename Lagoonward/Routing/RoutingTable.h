#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"
#include "Lagoonward/Routing/RouteRequest.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// One endpoint as the router sees it.
struct RoutingTarget
{
  std::string id;
  std::uint64_t key = 0; ///< Names one life of the endpoint; see EndpointKeyOf().
  bool live = false;     ///< May get new work.
  bool reclaimable = true;
  std::uint16_t machineClass = 0;  ///< Index into RoutingTable::MachineClasses().
  std::uint16_t failureDomain = 0; ///< Index into RoutingTable::FailureDomains().
  double pricePerSecond = 0;
  int sequences = 0; ///< That it runs at once, as it says itself; zero where it does not.
  double fetchSecondsPerToken = 0; ///< See Endpoint.
  bool reportsLoad = false; ///< Whether it tells its load; else only own dispatches are known.
  int waiting = 0;      ///< As reported.
  int running = 0;      ///< As reported.
  TimePoint asOf;       ///< When the report was taken, on this daemon's clock.
};

/// A place on a group's hash ring.
struct RingPoint
{
  std::uint64_t position = 0;
  std::uint32_t target = 0;
};

/// The endpoints that serve one thing: a model's version with an adapter's, or a plain service.
struct RoutingGroup
{
  std::string name; ///< For messages, for example "permit:letters@3".
  std::uint64_t key = 0;
  std::vector<std::uint32_t> targets; ///< Live ones, cheapest first.
  std::vector<RingPoint> ring;        ///< Sorted by position.
  std::vector<char> isMember;          ///< For each target of the table.

  [[nodiscard]] bool Contains(std::uint32_t aTarget) const { return this->isMember[aTarget] != 0; }
};

/// How a table is built.
struct RoutingTableSettings
{
  double fallbackPricePerHour = 1; ///< For hosts without a known price.
  int ringPoints = 8;              ///< Places on the ring for each endpoint.
};

class RoutingTable;
using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// Immutable, contiguous form of one fleet snapshot under one manifest. Built by the control thread
/// whenever either changes; traffic threads only read it.
class RoutingTable
{
public:
  /// Builds the table. Report times are moved from the engines' calendar clocks to this daemon's
  /// steady clock; a report from the future counts as taken now.
  [[nodiscard]] static RoutingTablePtr Build(const FleetSnapshot& aFleet, const Manifest& aManifest,
                                             const Clock& aClock,
                                             const RoutingTableSettings& aSettings = {});

  /// The group that a request asks for. Versions left out are taken from the manifest; from then on
  /// they are matched exactly.
  /// Errors: UnknownModel, UnknownService when the manifest has no such thing.
  [[nodiscard]] Result<const RoutingGroup*> FindGroup(const RouteRequest& aRequest) const;

  [[nodiscard]] std::span<const RoutingTarget> Targets() const { return this->targets; }
  [[nodiscard]] std::span<const std::string> MachineClasses() const { return this->machineClasses; }
  [[nodiscard]] std::span<const std::string> FailureDomains() const { return this->failureDomains; }

  /// Whether hosts of that failure domain are leaving.
  [[nodiscard]] bool IsLeaving(std::uint16_t aDomain) const { return this->leavingDomains[aDomain] != 0; }

  /// Rank of a priority among those of the manifest's classes, 0 the lowest, at most 3.
  [[nodiscard]] int RankOf(int aPriority) const;

  /// Mean price of a live endpoint, per second.
  [[nodiscard]] double MeanPricePerSecond() const { return this->meanPricePerSecond; }

private:
  void AddTarget(const Endpoint& aEndpoint, const Clock& aClock,
                 const RoutingTableSettings& aSettings);
  void AddGroups(const FleetSnapshot& aFleet, const Manifest& aManifest);
  void AddMember(std::string_view aName, std::uint64_t aKey, std::uint32_t aTarget);
  void FinishGroups(const RoutingTableSettings& aSettings);

  std::vector<RoutingTarget> targets;
  std::vector<RoutingGroup> groups; ///< Sorted by key.
  std::vector<std::string> machineClasses;
  std::vector<std::string> failureDomains;
  std::vector<char> leavingDomains;     ///< For each failure domain.
  std::vector<int> priorities; ///< Distinct ones of the manifest's classes, ascending.
  std::vector<ManifestModel> models;
  double meanPricePerSecond = 0;
};

} // namespace lagoonward
