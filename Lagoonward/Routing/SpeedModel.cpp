#include "Lagoonward/Routing/SpeedModel.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Shorter prompts say more about queues and networks than about prefill.
constexpr int kShortestPrompt = 512;

/// Scales the batch so that both terms of a step weigh alike in the correction.
constexpr double kTypicalBatch = 16;

} // namespace

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
  this->classes.push_back({ std::string(aMachineClass), speed });
  return this->classes.size() - 1;
}

double
SpeedModel::Bounded(double aValue, double aPrior) const
{
  return std::clamp(aValue, aPrior / this->priors.range, aPrior * this->priors.range);
}

void
SpeedModel::ObservePrefill(std::size_t aIndex, int aUncachedTokens, double aSequences,
                           double aSeconds)
{
  if (aUncachedTokens < kShortestPrompt || aSeconds <= 0) {
    return;
  }
  MachineSpeed& speed = this->classes[aIndex].speed;
  const double batch = aSequences / kTypicalBatch;
  const double error = aSeconds / aUncachedTokens - speed.PrefillSeconds(aSequences);
  const double step = this->priors.learningRate * error / (1 + batch * batch);
  speed.prefillSecondsPerToken =
    this->Bounded(speed.prefillSecondsPerToken + step, 1 / this->priors.prefillTokensPerSecond);
  speed.prefillPerSequence = this->Bounded(speed.prefillPerSequence + step * batch / kTypicalBatch,
                                           this->priors.prefillPerSequence);
}

void
SpeedModel::ObserveStep(std::size_t aIndex, double aSequences, double aSeconds)
{
  MachineSpeed& speed = this->classes[aIndex].speed;
  const double batch = std::max(aSequences, 1.0) / kTypicalBatch;
  const double error = aSeconds - speed.StepSeconds(std::max(aSequences, 1.0));
  const double step = this->priors.learningRate * error / (1 + batch * batch);
  speed.stepBaseSeconds = this->Bounded(speed.stepBaseSeconds + step, this->priors.stepBaseSeconds);
  speed.stepPerSequenceSeconds =
    this->Bounded(speed.stepPerSequenceSeconds + step * batch / kTypicalBatch,
                  this->priors.stepPerSequenceSeconds);
}

void
SpeedModel::ObserveLoad(std::size_t aIndex, int aWaiting, int aRunning)
{
  MachineSpeed& speed = this->classes[aIndex].speed;
  const double error = aRunning - speed.sequences;
  if (error > 0) {
    speed.sequences = this->Bounded(aRunning, this->priors.sequences);
  } else if (aWaiting > 0) {
    speed.sequences =
      this->Bounded(speed.sequences + this->priors.learningRate * error, this->priors.sequences);
  }
}

} // namespace lagoonward
