#pragma once

#include "Lagoonward/Admission/DemandAggregator.h"
#include "Lagoonward/Daemon/LoadMessages.h"
#include "Lagoonward/Metering/UsageAccumulator.h"
#include "Lagoonward/Placement/DemandAccumulator.h"
#include "Lagoonward/Routing/InFlightTable.h"

#include <optional>
#include <unordered_map>

namespace lagoonward {

/// Tunables of an aggregator's load table.
struct LoadTableSettings
{
  UsageAccumulatorSettings usage;
  DemandAggregatorSettings demand;
  Milliseconds silenceTimeout{
    3000
  }; ///< A daemon or group that has sent no report for this long is left out of the sums.
  /// The sums of a group are accepted from one aggregator only, until it has sent none for this long: three messages.
  Milliseconds aggregatorTimeout{ 1200 };
  /// Reports of further groups are rejected, so that no sender can exhaust the memory. Far more than the failure
  /// domains of any deployment.
  std::size_t maximumGroups = 512;
};

/// The state of an aggregator: the load of its group's members, and the sums of the other groups. Does no I/O. Not
/// thread-safe.
///
/// Handling a member's report and making its response takes time proportional to the entries of the report and to the
/// endpoints in use, independent of the number of daemons outside the group.
class LoadTable
{
public:
  /// @param aRun  identifies this daemon and this run of it
  LoadTable(const LoadTableSettings& aSettings, std::uint64_t aRun, const Clock& aClock);

  /// Sets the group that this daemon belongs to. A change clears all reports, since other aggregators report the
  /// members of the previous group from then on.
  void SetGroup(std::uint64_t aGroup);

  /// Applies a member's report. A report that names another group is ignored, except for its leader announcement.
  void OnMemberReport(const MemberReport& aReport);

  /// Applies the sums that the first aggregator of another group has sent. While two aggregators send sums for one
  /// group, those of the one that was received first count.
  /// @return false where the report was ignored
  bool OnGroupReport(const GroupReport& aReport);

  /// Requests in flight and demand of all daemons but the one with that run.
  [[nodiscard]] LoadSum SumFor(std::uint64_t aRun);

  /// The sums of this group, and the medians of the speeds that its members have measured. The speeds in use are not
  /// sent: they come from other groups in part, and sent back to these they would keep all groups at the first
  /// estimate.
  [[nodiscard]] GroupReport MakeGroupReport(bool aHasUsage);

  /// Requests per account that started in a window, over all daemons.
  [[nodiscard]] UsageCounts UsageInWindow(std::int64_t aWindow) const;

  /// Whether the usage of a window that ended this long ago is complete, so that it can be reported.
  [[nodiscard]] bool IsUsageReportable(Milliseconds aSinceEnd) const;
  void ExpireUsage(std::int64_t aBefore);

  /// Work per second that all daemons together send to a service.
  [[nodiscard]] EngineWork RateOf(const std::string& aService) const;

  /// The leader, where it has announced itself within that time; otherwise an empty announcement.
  [[nodiscard]] LeaderAnnouncement Leader(Milliseconds aWithin) const;

  /// Applies an announcement of a leader, by this daemon itself or received from another one.
  void OnLeader(const LeaderAnnouncement& aAnnouncement);

  /// Number of daemons whose reports are in the sums, directly or through their group.
  [[nodiscard]] int ReportedDaemons() const;

private:
  /// The accepted aggregator of another group, and its last report.
  struct Group
  {
    std::uint64_t run = 0;
    TimePoint receivedAt;
    WorkByService workRate;
  };

  /// The endpoints' speeds as a member has measured them.
  struct SpeedsOfMember
  {
    TimePoint receivedAt;
    std::vector<SpeedReport> speeds;
  };

  /// All reports received while this daemon belongs to one group.
  struct GroupTables
  {
    GroupTables(const LoadTableSettings& aSettings, const Clock& aClock);

    UsageAccumulator memberUsage;
    UsageAccumulator groupUsage;
    DemandAccumulator memberWork;
    InFlightTable memberInFlight;
    InFlightTable groupInFlight;
    DemandAggregator memberDemand;
    DemandAggregator groupDemand;
    std::unordered_map<std::uint64_t, SpeedsOfMember> memberSpeeds;
    std::unordered_map<std::uint64_t, Group> groups;
  };

  [[nodiscard]] std::vector<SpeedReport> GroupSpeeds();
  [[nodiscard]] static std::vector<ClientDemand> Plausible(std::vector<ClientDemand> aDemand);

  LoadTableSettings settings;
  std::uint64_t run;
  const Clock& clock;
  std::uint64_t group = 0;
  std::optional<GroupTables> tables; ///< Always set; replaced when the group changes.
  LeaderAnnouncement leader;
  TimePoint leaderAnnouncedAt; ///< When the leader last announced itself.
};

} // namespace lagoonward
