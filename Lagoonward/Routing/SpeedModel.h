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
  double prefillPerSequence = 0;     ///< Additional wait per token for each running sequence.
  double stepBaseSeconds = 0;
  double stepPerSequenceSeconds = 0;
  double sequences = 0; ///< Sequences that run concurrently.

  /// Duration of one decode step with aSequences in the batch.
  [[nodiscard]] double StepSeconds(double aSequences) const
  {
    return this->stepBaseSeconds + this->stepPerSequenceSeconds * aSequences;
  }

  /// Prefill time of a prompt token with aSequences running, which share the steps.
  [[nodiscard]] double PrefillSeconds(double aSequences) const
  {
    return this->prefillSecondsPerToken + this->prefillPerSequence * aSequences;
  }
};

/// Speed of one machine class, as daemons report it to each other.
struct SpeedReport
{
  std::string machineClass;
  double prefillSecondsPerToken = 0;
  double stepBaseSeconds = 0;
  double stepPerSequenceSeconds = 0;
  std::uint32_t prompts = 0; ///< Number of responses the report is based on.
  std::uint32_t daemons = 1; ///< Number of daemons that have learned it; the weight of the report.
};

/// Median of the reports on one machine class, weighted by SpeedReport::daemons. There must be at least one report.
[[nodiscard]] SpeedReport
MedianOfSpeeds(std::span<const SpeedReport* const> aReports);

/// Learns the prefill and decode speed of each machine class. Where endpoints report their load, a fraction of each
/// observation's error is corrected (normalised least mean squares), and values are limited to a range around the
/// priors, so that a stalled connection cannot distort them. Where they do not, the fastest responses define the speed
/// (SpeedEnvelope), without limits, and the median over all reporting daemons is used, so that a new daemon knows the
/// speed from the first report it receives. Not thread-safe.
class SpeedModel
{
public:
  explicit SpeedModel(const SpeedPriors& aPriors);

  /// Returns the index of a machine class, and adds the class if it is new.
  [[nodiscard]] std::size_t IndexOf(std::string_view aMachineClass);

  [[nodiscard]] const MachineSpeed& Get(std::size_t aIndex) const
  {
    return this->classes[aIndex].speed;
  }

  /// Observes the time to first token of a request that found little queued ahead but about aSequences running.
  void ObservePrefill(std::size_t aIndex, int aUncachedTokens, double aSequences, double aSeconds);

  /// Observes the time between two tokens with about aSequences in the batch.
  void ObserveStep(std::size_t aIndex, double aSequences, double aSeconds);

  /// Observes the first token of a request to an endpoint that does not report its load; see SpeedEnvelope::OnPrompt().
  void ObserveFreshPrompt(std::size_t aIndex, TimePoint aNow, int aFreshTokens, double aSeconds);

  /// Observes consecutive tokens from such an endpoint; see SpeedEnvelope::OnStep().
  void ObserveTokens(std::size_t aIndex, TimePoint aNow, double aSequences,
                     double aSecondsPerToken);

  /// Updates the speeds in use from SpeedEnvelope samples and peer reports. To be called a few times per second. For
  /// endpoints that do not report their load, Get() changes only here.
  void Refresh(TimePoint aNow);

  /// Whether the speed of a class was learned from responses, by this daemon or by one whose report is in use.
  [[nodiscard]] bool IsLearned(std::size_t aIndex) const
  {
    return this->classes[aIndex].local || !this->classes[aIndex].peerReports.empty();
  }

  /// Speeds that this daemon has learned from responses.
  [[nodiscard]] std::vector<SpeedReport> Learned() const;

  /// Speeds in use, for all classes whose speed was learned.
  [[nodiscard]] std::vector<SpeedReport> InUse() const;

  /// Handles a report of another daemon, with its learned speed or its speed in use. Reports with values that are not
  /// finite or out of range are ignored.
  /// @param aSource  identifies that daemon
  void OnPeerReport(std::uint64_t aSource, const SpeedReport& aReport, TimePoint aNow);

  /// Handles a load report. An engine with waiting requests is full; one that runs more sequences than assumed can run
  /// that many.
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
    std::optional<SpeedReport> local;                ///< Learned by this daemon.
    TimePoint learnedAt;                             ///< Time of the last update of `local`.
    std::map<std::uint64_t, PeerReport> peerReports; ///< By reporting daemon.
  };

  /// Moves the local report towards the current estimate of the envelope.
  void UpdateLocal(MachineClass& aClass, TimePoint aNow) const;
  /// Sets the speed in use to the median of the local and the peer reports.
  void CombineReports(MachineClass& aClass, TimePoint aNow) const;

  /// Limits a learned value to SpeedPriors::maxPriorRatio around its prior.
  [[nodiscard]] double ClampToPrior(double aValue, double aPrior) const;

  SpeedPriors priors;
  std::vector<MachineClass> classes;
};

} // namespace lagoonward
