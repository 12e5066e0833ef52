#pragma once

#include "Lagoonward/Routing/RoutingSettings.h"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Learned speed of one machine class.
struct MachineSpeed
{
  double prefillSecondsPerToken = 0; ///< Engine time.
  double prefillPerSequence = 0;     ///< Added to it, in waiting time, by each running sequence.
  double stepBaseSeconds = 0;
  double stepPerSequenceSeconds = 0;
  double sequences = 0; ///< Sequences that run at once.

  /// Length of one decode step with that many sequences in the batch.
  [[nodiscard]] double StepSeconds(double aSequences) const
  {
    return this->stepBaseSeconds + this->stepPerSequenceSeconds * aSequences;
  }

  /// Time until a prompt token is computed beside that many sequences, which share the steps.
  [[nodiscard]] double PrefillSeconds(double aSequences) const
  {
    return this->prefillSecondsPerToken + this->prefillPerSequence * aSequences;
  }
};

/// Learns how fast each machine class prefills and decodes, by correcting a share of each
/// observation's error (normalised least mean squares). Values stay within a range of the priors, so
/// that a stalled connection cannot teach nonsense. Not thread-safe.
class SpeedModel
{
public:
  explicit SpeedModel(const SpeedPriors& aPriors);

  /// Index of a machine class, which is added where it is new.
  [[nodiscard]] std::size_t IndexOf(std::string_view aMachineClass);

  [[nodiscard]] const MachineSpeed& Get(std::size_t aIndex) const
  {
    return this->classes[aIndex].speed;
  }

  /// Time to the first token of a request that found little ahead of it but about aSequences running.
  void ObservePrefill(std::size_t aIndex, int aUncachedTokens, double aSequences, double aSeconds);

  /// Time between two tokens while the batch held about aSequences.
  void ObserveStep(std::size_t aIndex, double aSequences, double aSeconds);

  /// A load report: an engine where requests wait is full, and one that runs more than it was thought to
  /// can run that many.
  void ObserveLoad(std::size_t aIndex, int aWaiting, int aRunning);

private:
  struct MachineClass
  {
    std::string name;
    MachineSpeed speed;
  };

  [[nodiscard]] double Bounded(double aValue, double aPrior) const;

  SpeedPriors priors;
  std::vector<MachineClass> classes;
};

} // namespace lagoonward
