#include "Lagoonward/Admission/DemandAggregator.h"

#include <algorithm>

namespace lagoonward {

DemandAggregator::DemandAggregator(const DemandAggregatorSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
DemandAggregator::OnReport(std::uint64_t aSource, std::uint64_t aSeries, int aDaemons,
                           std::span<const ClientDemand> aDemand)
{
  const auto [known, isNew] = this->sources.try_emplace(aSource);
  Source& source = known->second;
  if (isNew || source.series != aSeries) {
    this->ResetBaseline(source, aSeries);
  }
  source.receivedAt = this->clock.Now();
  source.daemons = aDaemons;
  for (const ClientDemand& reported : aDemand) {
    if (this->totals.size() >= this->settings.maximumClients &&
        !this->totals.contains(reported.client)) {
      continue;
    }
    const auto [at, isFirst] = source.records.try_emplace(reported.client);
    ClientRecord& record = at->second;
    const double newlyAdmitted =
      isFirst ? 0 : std::max(reported.admittedTotal - record.lastTotal, 0.0);
    ClientDemand& total = this->totals[reported.client];
    total.client = reported.client;
    total.tokensPerSecond += reported.tokensPerSecond - record.tokensPerSecond;
    total.running += reported.running - record.running;
    total.admittedTotal += newlyAdmitted;
    record = { reported.tokensPerSecond, reported.running, reported.admittedTotal,
               record.increase + newlyAdmitted };
  }
}

void
DemandAggregator::ResetBaseline(Source& aSource, std::uint64_t aSeries)
{
  this->SubtractSource(aSource);
  aSource.records.clear();
  aSource.series = aSeries;
  aSource.generation = ++this->lastGeneration;
}

void
DemandAggregator::SubtractSource(const Source& aSource)
{
  for (const auto& [client, record] : aSource.records) {
    ClientDemand& total = this->totals[client];
    total.tokensPerSecond = std::max(total.tokensPerSecond - record.tokensPerSecond, 0.0);
    total.running -= record.running;
  }
}

AggregatedDemand
DemandAggregator::SumOfOthers(std::uint64_t aSource) const
{
  const auto known = this->sources.find(aSource);
  return this->SumExcept(known == this->sources.end() ? nullptr : &known->second);
}

AggregatedDemand
DemandAggregator::Sum() const
{
  return this->SumExcept(nullptr);
}

AggregatedDemand
DemandAggregator::SumExcept(const Source* aSource) const
{
  AggregatedDemand sum;
  sum.series = aSource == nullptr ? 0 : aSource->generation;
  const TimePoint now = this->clock.Now();
  for (const auto& [key, source] : this->sources) {
    const bool isLive = now - source.receivedAt <= this->settings.silenceTimeout;
    sum.daemons += isLive && &source != aSource ? source.daemons : 0;
  }
  for (const auto& [client, total] : this->totals) {
    ClientDemand rest = total;
    if (aSource != nullptr) {
      const auto own = aSource->records.find(client);
      const ClientRecord record = own == aSource->records.end() ? ClientRecord{} : own->second;
      rest.tokensPerSecond = std::max(rest.tokensPerSecond - record.tokensPerSecond, 0.0);
      rest.running -= record.running;
      rest.admittedTotal -= record.increase;
    }
    sum.demand.push_back(rest);
  }
  return sum;
}

void
DemandAggregator::RemoveStaleSources()
{
  const TimePoint now = this->clock.Now();
  for (auto source = this->sources.begin(); source != this->sources.end();) {
    if (now - source->second.receivedAt <= this->settings.sourceRetention) {
      ++source;
      continue;
    }
    this->SubtractSource(source->second);
    source = this->sources.erase(source);
  }
}

} // namespace lagoonward
