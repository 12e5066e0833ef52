#pragma once

#include "Lagoonward/Admission/DemandView.h"
#include "Lagoonward/Admission/PoisonGuard.h"
#include "Lagoonward/Membership/WireCodec.h"
#include "Lagoonward/Metering/UsageCounter.h"
#include "Lagoonward/Routing/EngineWork.h"
#include "Lagoonward/Routing/InFlightBook.h"
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
serialize(Archive& aArchive, DemandOfOthers& aDemand)
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

/// Who leads, as somebody has heard of late.
struct LeaderNote
{
  std::string id;            ///< Empty for nobody.
  std::int64_t fencing = -1; ///< Of its tenure.
  std::int64_t age = 0;      ///< Milliseconds since it said so.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeBytes<std::uint8_t>(aArchive, this->id);
    aArchive(this->fencing, this->age);
  }
};

/// What a daemon tells the aggregators of its group. Usage and work are cumulative, so a lost message costs only time.
struct MemberReport
{
  std::uint64_t run = 0;   ///< Names the daemon and this run of it.
  std::uint64_t group = 0; ///< That it takes itself to belong to.
  bool wantsSum = false;   ///< Whether the answer is to be a LoadSum.
  bool hasUsage = false;   ///< Usage goes along less often than the rest.
  UsageByWindow usage;
  InFlightCounts inFlight;
  std::vector<ClientDemand> demand;
  WorkByService work;              ///< Sent to endpoints since its start.
  std::vector<SpeedReport> speeds; ///< As it has learned them.
  LeaderNote leader;               ///< Itself, while it leads.
  std::vector<PoisonNote> poison;  ///< All that it knows of.

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
  }
};

/// The answer: what all others have in flight and ask for, and the speeds that the aggregator goes by.
struct LoadSum
{
  std::uint64_t run = 0; ///< The aggregator's.
  InFlightCounts inFlight;
  DemandOfOthers demand;
  std::vector<SpeedReport> speeds;
  LeaderNote leader;
  std::vector<PoisonNote> poison; ///< All that the aggregator knows of.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->run);
    SerializeList<std::uint16_t>(aArchive, this->inFlight);
    aArchive(this->demand);
    SerializeList<std::uint8_t>(aArchive, this->speeds);
    aArchive(this->leader);
    SerializeList<std::uint8_t>(aArchive, this->poison);
  }
};

/// What the first aggregator of a group tells the aggregators of the others.
struct GroupReport
{
  std::uint64_t run = 0; ///< The aggregator's.
  std::uint64_t group = 0;
  bool hasUsage = false;
  std::int64_t usageAge = 0; ///< Milliseconds since the member heard longest ago told its usage.
  UsageByWindow usage;
  InFlightCounts inFlight;
  DemandOfOthers demand;           ///< Of the whole group.
  WorkByService workRate;          ///< Per second.
  std::vector<SpeedReport> speeds; ///< Medians of what its members have learned.
  LeaderNote leader;               ///< As one of the members has said.
  std::vector<PoisonNote> poison;  ///< All that the aggregator knows of.

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
  }
};

/// Whether demand that was told can be reckoned with.
[[nodiscard]] inline bool
IsPlausible(const ClientDemand& aDemand)
{
  return std::isfinite(aDemand.tokensPerSecond) && aDemand.tokensPerSecond >= 0 &&
         aDemand.running >= 0 && std::isfinite(aDemand.admittedTotal) && aDemand.admittedTotal >= 0;
}

} // namespace lagoonward
