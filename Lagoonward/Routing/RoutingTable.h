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

/// One endpoint in the routing table.
struct RoutingTarget
{
  std::string id;
  std::uint64_t key = 0; ///< Identifies one incarnation of the endpoint; see EndpointKeyOf().
  bool live = false;     ///< Whether it accepts new requests.
  bool reclaimable = true;
  std::uint16_t machineClass = 0;  ///< Index into RoutingTable::MachineClasses().
  std::uint16_t failureDomain = 0; ///< Index into RoutingTable::FailureDomains().
  std::uint64_t software = 0;      ///< Identifies its service and software version.
  double pricePerSecond = 0;
  int sequences = 0; ///< Sequences that it runs concurrently, as it reports; zero if it does not.
  double fetchSecondsPerToken = 0; ///< See Endpoint::fetchSecondsPerToken.
  bool reportsLoad = false; ///< Whether it reports its load; if not, only dispatches are known.
  int waiting = 0;          ///< Waiting sequences, as reported.
  int running = 0;          ///< Running sequences, as reported.
  TimePoint asOf;           ///< Time of the report, on this daemon's steady clock.
};

/// A point on a group's consistent hash ring.
struct RingPoint
{
  std::uint64_t position = 0;
  std::uint32_t target = 0;
};

/// The endpoints that serve one model version, optionally with an adapter version, or one plain service, optionally in
/// one software version.
struct RoutingGroup
{
  std::string name; ///< For messages, such as "permit:letters@3".
  std::uint64_t key = 0;
  std::vector<std::uint32_t> targets; ///< Indices of the live endpoints, cheapest first.
  std::vector<RingPoint> ring;        ///< Sorted by position.
  std::vector<char> isMember;         ///< Nonzero for members, by target index.

  [[nodiscard]] bool Contains(std::uint32_t aTarget) const { return this->isMember[aTarget] != 0; }
};

/// Settings of RoutingTable::Build().
struct RoutingTableSettings
{
  double fallbackPricePerHour = 1; ///< For hosts whose price is not known.
  int ringPoints = 8;              ///< Points on the hash ring per endpoint.
};

class RoutingTable;
using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// Immutable routing data of one fleet snapshot and one manifest, stored contiguously. Built by the control thread when
/// either changes; traffic threads only read it.
class RoutingTable
{
public:
  /// Builds the table. Report times are converted from the engines' wall clocks to this daemon's steady clock; a report
  /// time in the future counts as now.
  [[nodiscard]] static RoutingTablePtr Build(const FleetSnapshot& aFleet, const Manifest& aManifest,
                                             const Clock& aClock,
                                             const RoutingTableSettings& aSettings = {});

  /// Finds the group for a request. Omitted versions are taken from the manifest; versions must match exactly.
  /// Errors: UnknownModel, UnknownService if the manifest does not declare it; NoEndpoint if no endpoint has it loaded or
  /// runs the software version.
  [[nodiscard]] Result<const RoutingGroup*> FindGroup(const RouteRequest& aRequest) const;

  [[nodiscard]] std::span<const RoutingTarget> Targets() const { return this->targets; }
  [[nodiscard]] std::span<const std::string> MachineClasses() const { return this->machineClasses; }
  [[nodiscard]] std::span<const std::string> FailureDomains() const { return this->failureDomains; }

  /// Whether the failure domain has leaving endpoints.
  [[nodiscard]] bool IsLeaving(std::uint16_t aDomain) const
  {
    return this->leavingDomains[aDomain] != 0;
  }

  /// Rank of a priority among those of the manifest's classes: 0 is the lowest, 3 the maximum.
  [[nodiscard]] int RankOf(int aPriority) const;

  /// Mean price per second of the live endpoints.
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
  std::vector<char> leavingDomains; ///< Nonzero if it has leaving endpoints, by failure domain.
  std::vector<int> priorities;      ///< Distinct priorities of the manifest's classes, ascending.
  std::vector<ManifestModel> models;
  double meanPricePerSecond = 0;
};

} // namespace lagoonward
