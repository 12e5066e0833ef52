#pragma once

#include "Lagoonward/Routing/RoutingSettings.h"
#include "Lagoonward/Routing/SpeedEnvelope.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
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

/// What is known of one machine class, as daemons tell each other.
struct SpeedReport
{
  std::string machineClass;
  double prefillSecondsPerToken = 0;
  double stepBaseSeconds = 0;
  double stepPerSequenceSeconds = 0;
  std::uint32_t prompts = 0; ///< Answers that it rests on.
  std::uint32_t daemons = 1; ///< That have learned it; it counts for as many.
};

/// The median of several reports on one machine class, each counted for as many daemons as it names. At least one.
[[nodiscard]] SpeedReport
MedianOfSpeeds(std::span<const SpeedReport* const> aReports);

/// Learns how fast each machine class prefills and decodes. Where endpoints report their load, a share of each
/// observation's error is corrected (normalised least mean squares), and values stay within a range of the priors, so
/// that a stalled connection cannot teach nonsense. Where they do not, the fastest answers are taken for the
/// engine's speed (SpeedEnvelope), without any bound, and the median over all daemons that tell theirs is used, so that a
/// fresh daemon knows with the first message. Not thread-safe.
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

  /// First token of a request to an endpoint that tells no load; see SpeedEnvelope::OnPrompt().
  void ObserveFreshPrompt(std::size_t aIndex, TimePoint aNow, int aFreshTokens, double aSeconds);

  /// Tokens that followed each other there; see SpeedEnvelope::OnStep().
  void ObserveTokens(std::size_t aIndex, TimePoint aNow, double aSequences,
                     double aSecondsPerToken);

  /// Concludes from what was observed. To be called some times a second; Get() changes only here.
  void Refresh(TimePoint aNow);

  /// Whether the speed of a class was learned from its answers, here or by a daemon that has told of it.
  [[nodiscard]] bool IsLearned(std::size_t aIndex) const
  {
    return this->classes[aIndex].local || !this->classes[aIndex].peerReports.empty();
  }

  /// What this daemon itself has learned from answers.
  [[nodiscard]] std::vector<SpeedReport> Learned() const;

  /// What is in use for all classes whose speed was learned.
  [[nodiscard]] std::vector<SpeedReport> InUse() const;

  /// Another daemon has told what it has learned, or has in use.
  /// @param aSource  names that daemon
  void OnPeerReport(std::uint64_t aSource, const SpeedReport& aReport, TimePoint aNow);

  /// A load report: an engine where requests wait is full, and one that runs more than it was thought to
  /// can run that many.
  void ObserveLoad(std::size_t aIndex, int aWaiting, int aRunning);

private:
  struct PeerReport
  {
    TimePoint receivedAt;
    SpeedReport report;
  };

  struct MachineClass
  {
    std::string name;
    MachineSpeed speed; ///< In use.
    SpeedEnvelope envelope;
    std::optional<SpeedReport> local;     ///< As this daemon has learned it.
    TimePoint learnedAt;              ///< When it was last learned.
    std::map<std::uint64_t, PeerReport> peerReports; ///< By daemon.
  };

  /// Follows what the answers seen here show now.
  void UpdateLocal(MachineClass& aClass, TimePoint aNow) const;
  /// Brings own and told together.
  void CombineReports(MachineClass& aClass, TimePoint aNow) const;

  [[nodiscard]] double ClampToPrior(double aValue, double aPrior) const;

  SpeedPriors priors;
  std::vector<MachineClass> classes;
};

} // namespace lagoonward
