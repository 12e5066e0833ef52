#include "Lagoonward/Routing/SpeedModel.h"

#include <algorithm>
#include <cmath>

namespace lagoonward {

namespace {

/// For shorter prompts, the time to first token depends more on queueing and the network than on prefill.
constexpr int kMinPromptTokens = 512;

/// Scales the batch size so that both terms of a step have equal weight in the correction.
constexpr double kTypicalBatch = 16;

} // namespace

namespace {

/// Weighted median of one member.
double
MedianOf(std::span<const SpeedReport* const> aReports, double SpeedReport::*aMember)
{
  std::vector<std::pair<double, std::uint64_t>> values;
  std::uint64_t daemons = 0;
  for (const SpeedReport* report : aReports) {
    values.emplace_back(report->*aMember, report->daemons);
    daemons += report->daemons;
  }
  std::sort(values.begin(), values.end());
  // The middle value, or the mean of the two middle values
  double lower = values.front().first;
  std::uint64_t before = 0;
  bool hasLower = false;
  for (const auto& [value, weight] : values) {
    before += weight;
    if (!hasLower && 2 * before >= daemons) {
      lower = value;
      hasLower = true;
    }
    if (2 * before > daemons) {
      return (lower + value) / 2;
    }
  }
  return lower;
}

} // namespace

SpeedReport
MedianOfSpeeds(std::span<const SpeedReport* const> aReports)
{
  SpeedReport median = *aReports.front();
  median.prefillSecondsPerToken = MedianOf(aReports, &SpeedReport::prefillSecondsPerToken);
  median.stepBaseSeconds = MedianOf(aReports, &SpeedReport::stepBaseSeconds);
  median.stepPerSequenceSeconds = MedianOf(aReports, &SpeedReport::stepPerSequenceSeconds);
  median.prompts = 0;
  median.daemons = 0;
  for (const SpeedReport* report : aReports) {
    median.prompts += report->prompts;
    median.daemons += report->daemons;
  }
  return median;
}

SpeedModel::SpeedModel(const SpeedPriors& aPriors)
  : priors(aPriors)
{
}

std::size_t
SpeedModel::IndexOf(std::string_view aMachineClass)
{
  const auto found =
    std::find_if(this->classes.begin(), this->classes.end(),
                 [&](const MachineClass& aClass) { return aClass.name == aMachineClass; });
  if (found != this->classes.end()) {
    return static_cast<std::size_t>(found - this->classes.begin());
  }
  const MachineSpeed speed{ 1 / this->priors.prefillTokensPerSecond,
                            this->priors.prefillPerSequence, this->priors.stepBaseSeconds,
                            this->priors.stepPerSequenceSeconds, this->priors.sequences };
  this->classes.push_back(
    { std::string(aMachineClass), speed, SpeedEnvelope(this->priors.envelope), {}, {}, {} });
  return this->classes.size() - 1;
}

double
SpeedModel::ClampToPrior(double aValue, double aPrior) const
{
  return std::clamp(aValue, aPrior / this->priors.maxPriorRatio,
                    aPrior * this->priors.maxPriorRatio);
}

void
SpeedModel::ObservePrefill(std::size_t aIndex, int aUncachedTokens, double aSequences,
                           double aSeconds)
{
  if (aUncachedTokens < kMinPromptTokens || aSeconds <= 0) {
    return;
  }
  MachineSpeed& speed = this->classes[aIndex].speed;
  const double batch = aSequences / kTypicalBatch;
  const double error = aSeconds / aUncachedTokens - speed.PrefillSeconds(aSequences);
  const double step = this->priors.learningRate * error / (1 + batch * batch);
  speed.prefillSecondsPerToken = this->ClampToPrior(speed.prefillSecondsPerToken + step,
                                                    1 / this->priors.prefillTokensPerSecond);
  speed.prefillPerSequence = this->ClampToPrior(
    speed.prefillPerSequence + step * batch / kTypicalBatch, this->priors.prefillPerSequence);
}

void
SpeedModel::ObserveStep(std::size_t aIndex, double aSequences, double aSeconds)
{
  MachineSpeed& speed = this->classes[aIndex].speed;
  const double batch = std::max(aSequences, 1.0) / kTypicalBatch;
  const double error = aSeconds - speed.StepSeconds(std::max(aSequences, 1.0));
  const double step = this->priors.learningRate * error / (1 + batch * batch);
  speed.stepBaseSeconds =
    this->ClampToPrior(speed.stepBaseSeconds + step, this->priors.stepBaseSeconds);
  speed.stepPerSequenceSeconds =
    this->ClampToPrior(speed.stepPerSequenceSeconds + step * batch / kTypicalBatch,
                       this->priors.stepPerSequenceSeconds);
}

void
SpeedModel::ObserveFreshPrompt(std::size_t aIndex, TimePoint aNow, int aFreshTokens,
                               double aSeconds)
{
  this->classes[aIndex].envelope.OnPrompt(aNow, aFreshTokens, aSeconds);
}

void
SpeedModel::ObserveTokens(std::size_t aIndex, TimePoint aNow, double aSequences,
                          double aSecondsPerToken)
{
  this->classes[aIndex].envelope.OnStep(aNow, aSequences, aSecondsPerToken);
}

void
SpeedModel::Refresh(TimePoint aNow)
{
  for (MachineClass& each : this->classes) {
    this->UpdateLocal(each, aNow);
    this->CombineReports(each, aNow);
  }
}

void
SpeedModel::UpdateLocal(MachineClass& aClass, TimePoint aNow) const
{
  const auto steps = aClass.envelope.Steps(aNow);
  const auto speed =
    steps ? aClass.envelope.PromptTokensPerSecond(aNow, steps->base) : std::nullopt;
  if (!speed) {
    return;
  }
  SpeedReport next{ aClass.name, 1 / *speed, steps->base, steps->perSequence,
                    static_cast<std::uint32_t>(aClass.envelope.CountPrompts(aNow)) };
  if (aClass.local) {
    const SpeedEnvelopeSettings& settings = this->priors.envelope;
    const auto since = ToSeconds(aNow - aClass.learnedAt);
    const auto follow = [&](double aKnown, double aMeasured, Milliseconds aSlower) {
      const Milliseconds constant = aMeasured < aKnown ? settings.speedUpTimeConstant : aSlower;
      return aKnown + (1 - std::exp(-since / ToSeconds(constant))) * (aMeasured - aKnown);
    };
    const SpeedReport& known = *aClass.local;
    next.stepBaseSeconds =
      follow(known.stepBaseSeconds, next.stepBaseSeconds, settings.slowDownTimeConstant);
    next.stepPerSequenceSeconds = follow(known.stepPerSequenceSeconds, next.stepPerSequenceSeconds,
                                         settings.slowDownTimeConstant);
    // In an engine that has become slower, prefill and decode are both slower; if only prefill is, the engine is busy
    const double growth = std::max(next.stepBaseSeconds / known.stepBaseSeconds, 1.0);
    const double scaledPrefill = known.prefillSecondsPerToken * growth;
    next.prefillSecondsPerToken =
      follow(scaledPrefill,
             std::min(next.prefillSecondsPerToken, scaledPrefill * settings.maxBusyPrefillGrowth),
             settings.busyTimeConstant);
  }
  aClass.local = std::move(next);
  aClass.learnedAt = aNow;
}

void
SpeedModel::CombineReports(MachineClass& aClass, TimePoint aNow) const
{
  std::erase_if(aClass.peerReports, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt > this->priors.envelope.peerReportRetention;
  });
  std::vector<const SpeedReport*> reports;
  if (aClass.local) {
    reports.push_back(&*aClass.local);
  }
  for (const auto& [source, peerReport] : aClass.peerReports) {
    reports.push_back(&peerReport.report);
  }
  if (reports.empty()) {
    return;
  }
  const SpeedReport median = MedianOfSpeeds(reports);
  MachineSpeed& speed = aClass.speed;
  speed.prefillSecondsPerToken = median.prefillSecondsPerToken;
  speed.prefillPerSequence =
    speed.prefillSecondsPerToken * this->priors.envelope.prefillGrowthPerSequence;
  speed.stepBaseSeconds = median.stepBaseSeconds;
  speed.stepPerSequenceSeconds = median.stepPerSequenceSeconds;
}

std::vector<SpeedReport>
SpeedModel::Learned() const
{
  std::vector<SpeedReport> reports;
  for (const MachineClass& each : this->classes) {
    if (each.local) {
      reports.push_back(*each.local);
    }
  }
  return reports;
}

std::vector<SpeedReport>
SpeedModel::InUse() const
{
  std::vector<SpeedReport> reports;
  for (std::size_t index = 0; index < this->classes.size(); ++index) {
    const MachineClass& each = this->classes[index];
    if (this->IsLearned(index)) {
      reports.push_back({ each.name, each.speed.prefillSecondsPerToken, each.speed.stepBaseSeconds,
                          each.speed.stepPerSequenceSeconds,
                          each.local ? each.local->prompts : 0 });
    }
  }
  return reports;
}

void
SpeedModel::OnPeerReport(std::uint64_t aSource, const SpeedReport& aReport, TimePoint aNow)
{
  const auto isTime = [](double aSeconds) { return std::isfinite(aSeconds) && aSeconds > 0; };
  if (!isTime(aReport.prefillSecondsPerToken) || !isTime(aReport.stepBaseSeconds) ||
      !std::isfinite(aReport.stepPerSequenceSeconds) || aReport.stepPerSequenceSeconds < 0) {
    return;
  }
  MachineClass& known = this->classes[this->IndexOf(aReport.machineClass)];
  known.peerReports[aSource] = { aNow, aReport };
}

void
SpeedModel::ObserveLoad(std::size_t aIndex, int aWaiting, int aRunning)
{
  MachineSpeed& speed = this->classes[aIndex].speed;
  const double error = aRunning - speed.sequences;
  if (error > 0) {
    speed.sequences = this->ClampToPrior(aRunning, this->priors.sequences);
  } else if (aWaiting > 0) {
    speed.sequences = this->ClampToPrior(speed.sequences + this->priors.learningRate * error,
                                         this->priors.sequences);
  }
}

} // namespace lagoonward
