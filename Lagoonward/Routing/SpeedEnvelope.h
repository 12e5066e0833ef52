#pragma once

#include "Lagoonward/Core/Clock.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace lagoonward {

/// Tunables of learning engines' speed from answers alone.
struct SpeedEnvelopeSettings
{
  /// Quantile of the observed reading speeds that is taken for the engine's. Waiting, parts of the prompt that had to
  /// be read as well, and slow endpoints only make a request look slower, so the truth lies at the upper end; the last
  /// tenth is left to prompts that an endpoint had read before without this daemon's knowledge. With engines that are
  /// half busy, 35 tokens/ms were learned where a prompt alone is read at 36.
  double promptQuantile = 0.9;

  /// Quantile of the observed times per token that is taken for the engine's, by the same reasoning: prompts that are
  /// read in between only add. 5.6 to 6.0 ms were learned where 5.6 to 5.95 are true.
  double stepQuantile = 0.1;

  Seconds window{ 10 };     ///< Older answers no longer count: a change shows within this time.
  std::size_t minSamples = 12;  ///< Answers without which nothing is concluded.
  int minPromptTokens = 256; ///< Prompt tokens below which the way there and back hides the reading.
  double defaultGrowth =
    0.01; ///< Part by which each sequence lengthens a step, until batches of different sizes show it.
  double minBatchContrast =
    4; ///< Sequences by which two halves of the batches must differ to show it.
  double maxGrowth = 0.1; ///< Bound of that part.

  /// How fast a conclusion is followed, as a time constant: one of a faster engine soon, as nothing but a faster engine
  /// shows it; one of a slower engine later, and much later while its steps take as long as before: then it is
  /// busy rather than slow. In a wave that all endpoints were too few for, 35 tokens/ms came down to 5 for ten seconds.
  Milliseconds speedUpTimeConstant{ 1'000 };
  Milliseconds slowDownTimeConstant{ 2'000 };
  Milliseconds busyTimeConstant{ 60'000 };
  double maxBusyPrefillGrowth =
    1.5; ///< Most by which a busy engine's reading is taken to have grown at once.

  /// What another daemon has told counts for so long.
  Seconds peerReportRetention{ 5 };

  /// Part by which each running sequence lengthens the reading of a prompt, as both share the steps.
  double prefillGrowthPerSequence = 0.03;
};

/// Times of decode steps: `base + perSequence * sequences`, in seconds.
struct StepTimes
{
  double base = 0;
  double perSequence = 0;
};

/// Learns how fast one class of engines reads prompts and makes tokens from what callers' answers show, without load
/// reports. All that disturbs an observation makes it slower, never faster, so an outer quantile of the recent
/// ones is taken, not their mean: a mean takes a busy engine for a slow one and orders three times too many. Plain
/// memory, no allocation after construction but for the estimates. Not thread-safe.
class SpeedEnvelope
{
public:
  explicit SpeedEnvelope(const SpeedEnvelopeSettings& aSettings);

  /// A first token has come.
  /// @param aFreshTokens  tokens of the prompt that the endpoint cannot have read before
  /// @param aSeconds      since the request was sent, less the way there and back
  void OnPrompt(TimePoint aNow, int aFreshTokens, double aSeconds);

  /// Some tokens have come one after the other.
  /// @param aSequences  that are thought to have run there
  void OnStep(TimePoint aNow, double aSequences, double aSecondsPerToken);

  /// Prompt tokens read a second by an engine that does nothing else; nothing while too little is known.
  /// @param aStepSeconds  that a first token takes beside the reading
  [[nodiscard]] std::optional<double> PromptTokensPerSecond(TimePoint aNow,
                                                            double aStepSeconds) const;

  /// Times of decode steps; nothing while too little is known.
  [[nodiscard]] std::optional<StepTimes> Steps(TimePoint aNow) const;

  /// Prompts that count now.
  [[nodiscard]] std::size_t CountPrompts(TimePoint aNow) const;

private:
  static constexpr std::size_t kMaxSamples = 256;

  struct Sample
  {
    TimePoint at;
    double size = 0; ///< Prompt tokens, or sequences.
    double seconds = 0;
  };

  /// The newest samples, overwritten in turn.
  struct SampleRing
  {
    std::array<Sample, kMaxSamples> samples{};
    std::size_t count = 0;

    void Add(const Sample& aSample);
    [[nodiscard]] std::vector<Sample> Since(TimePoint aFrom) const;
  };

  SpeedEnvelopeSettings settings;
  SampleRing prompts;
  SampleRing steps;
};

} // namespace lagoonward
