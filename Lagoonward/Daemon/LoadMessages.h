#pragma once

#include "Lagoonward/Admission/BrittleServices.h"
#include "Lagoonward/Admission/DemandView.h"
#include "Lagoonward/Admission/EndpointNotices.h"
#include "Lagoonward/Admission/PoisonRequestFilter.h"
#include "Lagoonward/Membership/WireCodec.h"
#include "Lagoonward/Metering/UsageCounter.h"
#include "Lagoonward/Routing/EngineWork.h"
#include "Lagoonward/Routing/InFlightTable.h"
#include "Lagoonward/Routing/SpeedModel.h"

#include <cereal/types/utility.hpp>

#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward {

template<class Archive>
void
serialize(Archive& aArchive, ClientDemand& aDemand)
{
  aArchive(aDemand.client, aDemand.tokensPerSecond, aDemand.running, aDemand.admittedTotal);
}

template<class Archive>
void
serialize(Archive& aArchive, AggregatedDemand& aDemand)
{
  aArchive(aDemand.series, aDemand.daemons);
  SerializeList<std::uint16_t>(aArchive, aDemand.demand);
}

template<class Archive>
void
serialize(Archive& aArchive, SpeedReport& aReport)
{
  SerializeBytes<std::uint8_t>(aArchive, aReport.machineClass);
  aArchive(aReport.prefillSecondsPerToken, aReport.stepBaseSeconds, aReport.stepPerSequenceSeconds,
           aReport.prompts, aReport.daemons);
}

template<class Archive>
void
SerializeUsage(Archive& aArchive, UsageByWindow& aUsage)
{
  SerializeMap<std::uint16_t>(aArchive, aUsage, [&](std::int64_t& aWindow, UsageCounts& aCounts) {
    aArchive(aWindow);
    SerializeMap<std::uint16_t>(aArchive, aCounts,
                                [&](std::string& aAccount, std::int64_t& aCount) {
                                  SerializeBytes<std::uint8_t>(aArchive, aAccount);
                                  aArchive(aCount);
                                });
  });
}

template<class Archive>
void
SerializeWork(Archive& aArchive, WorkByService& aWork)
{
  SerializeMap<std::uint8_t>(aArchive, aWork, [&](std::string& aService, EngineWork& aEach) {
    SerializeBytes<std::uint8_t>(aArchive, aService);
    aArchive(aEach);
  });
}

/// Announcement by the leader, as received directly or through other daemons.
struct LeaderAnnouncement
{
  std::string id;            ///< Daemon that leads; empty for none.
  std::int64_t fencing = -1; ///< Fencing number of its tenure.
  std::int64_t age = 0;      ///< Milliseconds since the leader sent it.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeBytes<std::uint8_t>(aArchive, this->id);
    aArchive(this->fencing, this->age);
  }
};

/// Report of a daemon to the aggregators of its group. Usage and work are cumulative, so a lost message only delays
/// them.
struct MemberReport
{
  std::uint64_t run = 0;   ///< Identifies the daemon and this run of it.
  std::uint64_t group = 0; ///< Group that the daemon belongs to by its own plan.
  bool wantsSum = false;   ///< Whether the response is to be a LoadSum.
  bool hasUsage = false;   ///< Usage is sent less often than the rest.
  UsageByWindow usage;
  InFlightCounts inFlight;
  std::vector<ClientDemand> demand;
  WorkByService work;                     ///< Total sent to endpoints since the daemon's start.
  std::vector<SpeedReport> speeds;        ///< As the daemon has measured them.
  LeaderAnnouncement leader;              ///< The daemon itself, while it leads.
  std::vector<PoisonVerdict> poison;      ///< All verdicts that the daemon knows.
  std::vector<PoisonVerdict> poisonParts; ///< The same for parts of prompts.
  std::vector<BrittleReport> brittle;     ///< All brittle services that the daemon knows.
  std::vector<LeavingReport> leaving;     ///< Endpoints whose answers have said that they leave.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->run, this->group, this->wantsSum, this->hasUsage);
    SerializeUsage(aArchive, this->usage);
    SerializeList<std::uint16_t>(aArchive, this->inFlight);
    SerializeList<std::uint16_t>(aArchive, this->demand);
    SerializeWork(aArchive, this->work);
    SerializeList<std::uint8_t>(aArchive, this->speeds);
    aArchive(this->leader);
    SerializeList<std::uint8_t>(aArchive, this->poison);
    SerializeList<std::uint8_t>(aArchive, this->poisonParts);
    SerializeList<std::uint16_t>(aArchive, this->brittle);
    SerializeList<std::uint16_t>(aArchive, this->leaving);
  }
};

/// Response to a MemberReport: requests in flight and demand of all other daemons, and the speeds that the aggregator
/// uses.
struct LoadSum
{
  std::uint64_t run = 0; ///< Run of the aggregator.
  InFlightCounts inFlight;
  AggregatedDemand demand;
  std::vector<SpeedReport> speeds;
  LeaderAnnouncement leader;
  std::vector<PoisonVerdict> poison;      ///< All verdicts that the aggregator knows.
  std::vector<PoisonVerdict> poisonParts; ///< The same for parts of prompts.
  std::vector<BrittleReport> brittle;     ///< All brittle services that the aggregator knows.
  std::vector<LeavingReport> leaving;     ///< Endpoints known to leave by their answers.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->run);
    SerializeList<std::uint16_t>(aArchive, this->inFlight);
    aArchive(this->demand);
    SerializeList<std::uint8_t>(aArchive, this->speeds);
    aArchive(this->leader);
    SerializeList<std::uint8_t>(aArchive, this->poison);
    SerializeList<std::uint8_t>(aArchive, this->poisonParts);
    SerializeList<std::uint16_t>(aArchive, this->brittle);
    SerializeList<std::uint16_t>(aArchive, this->leaving);
  }
};

/// Report of the first aggregator of a group to the aggregators of the other groups.
struct GroupReport
{
  std::uint64_t run = 0; ///< Run of the aggregator.
  std::uint64_t group = 0;
  bool hasUsage = false;
  std::int64_t usageAge = 0; ///< Age of the oldest usage report among the members, in milliseconds.
  UsageByWindow usage;
  InFlightCounts inFlight;
  AggregatedDemand demand;                ///< Of the whole group.
  WorkByService workRate;                 ///< Per second.
  std::vector<SpeedReport> speeds;        ///< Medians of what its members have measured.
  LeaderAnnouncement leader;              ///< As one of the members has announced it.
  std::vector<PoisonVerdict> poison;      ///< All verdicts that the aggregator knows.
  std::vector<PoisonVerdict> poisonParts; ///< The same for parts of prompts.
  std::vector<BrittleReport> brittle;     ///< All brittle services that the aggregator knows.
  std::vector<LeavingReport> leaving;     ///< Endpoints known to leave by their answers.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->run, this->group, this->hasUsage, this->usageAge);
    SerializeUsage(aArchive, this->usage);
    SerializeList<std::uint16_t>(aArchive, this->inFlight);
    aArchive(this->demand);
    SerializeWork(aArchive, this->workRate);
    SerializeList<std::uint8_t>(aArchive, this->speeds);
    aArchive(this->leader);
    SerializeList<std::uint8_t>(aArchive, this->poison);
    SerializeList<std::uint8_t>(aArchive, this->poisonParts);
    SerializeList<std::uint16_t>(aArchive, this->brittle);
    SerializeList<std::uint16_t>(aArchive, this->leaving);
  }
};

/// Whether all values of a received demand are finite and not negative.
[[nodiscard]] inline bool
IsPlausible(const ClientDemand& aDemand)
{
  return std::isfinite(aDemand.tokensPerSecond) && aDemand.tokensPerSecond >= 0 &&
         aDemand.running >= 0 && std::isfinite(aDemand.admittedTotal) && aDemand.admittedTotal >= 0;
}

} // namespace lagoonward
