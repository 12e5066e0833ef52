#pragma once

#include "Lagoonward/Core/Clock.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace lagoonward {

/// Tunables of SpeedEnvelope.
struct SpeedEnvelopeSettings
{
  /// Quantile of the observed prefill speeds that is used as the engine's speed. Waiting, further parts of the prompt
  /// that had to be prefilled, and slow endpoints only make a request appear slower, so the true speed is at the upper
  /// end. The top tenth is excluded because it can contain prompts that an endpoint had cached without this daemon's
  /// knowledge. With engines at half load, 35 tokens/ms were learned where a prompt alone is prefilled at 36.
  double promptQuantile = 0.9;

  /// Quantile of the observed times per token that is used as the engine's, for the same reason: prefills of other
  /// prompts in between only add to them. 5.6 to 6.0 ms were learned where the true values were 5.6 to 5.95.
  double stepQuantile = 0.1;

  /// Older samples are ignored, so a change of speed takes effect within this time.
  Seconds window{ 10 };
  std::size_t minSamples = 12; ///< Minimum number of samples for an estimate.
  int minPromptTokens = 256; ///< For shorter prompts the network round trip hides the prefill time.
  /// Relative increase of a step's time per sequence, until batches of different sizes allow estimating it.
  double defaultGrowth = 0.01;
  /// Difference in mean sequences between two halves of the samples needed for that.
  double minBatchContrast = 4;
  double maxGrowth = 0.1; ///< Upper bound of that increase.

  /// Time constants with which the speed in use follows a new estimate. A faster estimate is followed soon, as only a
  /// faster engine can cause it. A slower one is followed later, and much later while the step times have not changed:
  /// then the engine is busy rather than slow. During a load peak beyond the capacity of all endpoints, the estimate
  /// fell from 35 tokens/ms to 5 for ten seconds.
  Milliseconds speedUpTimeConstant{ 1'000 };
  Milliseconds slowDownTimeConstant{ 2'000 };
  Milliseconds busyTimeConstant{ 60'000 };
  /// Upper bound of the growth of prefill time in one estimate of a busy engine.
  double maxBusyPrefillGrowth = 1.5;

  /// How long the report of another daemon is used.
  Seconds peerReportRetention{ 5 };

  /// Relative increase of prefill time per running sequence, as both share the steps.
  double prefillGrowthPerSequence = 0.03;
};

/// Times of decode steps: `base + perSequence * sequences`, in seconds.
struct StepTimes
{
  double base = 0;
  double perSequence = 0;
};

/// Estimates the prefill and decode speed of one class of engines from response times alone, without load reports.
/// Every disturbance makes an observation slower, never faster. Therefore an outer quantile of the recent samples is
/// used, not their mean: a mean mistakes a busy engine for a slow one, and three times too many engines were ordered.
/// Memory is allocated only by the estimates. Not thread-safe.
class SpeedEnvelope
{
public:
  explicit SpeedEnvelope(const SpeedEnvelopeSettings& aSettings);

  /// Records the time to first token of a request.
  /// @param aFreshTokens  prompt tokens that the endpoint cannot have cached
  /// @param aSeconds      time since the request was sent, minus the network round trip
  void OnPrompt(TimePoint aNow, int aFreshTokens, double aSeconds);

  /// Records the time per token of some consecutive tokens.
  /// @param aSequences  estimated sequences running at the endpoint
  void OnStep(TimePoint aNow, double aSequences, double aSecondsPerToken);

  /// Prompt tokens per second of an otherwise idle engine; empty with fewer than minSamples samples.
  /// @param aStepSeconds  time of the decode step of the first token, in addition to the prefill
  [[nodiscard]] std::optional<double> PromptTokensPerSecond(TimePoint aNow,
                                                            double aStepSeconds) const;

  /// Times of decode steps; empty with fewer than minSamples samples.
  [[nodiscard]] std::optional<StepTimes> Steps(TimePoint aNow) const;

  /// Number of prompt samples within the window.
  [[nodiscard]] std::size_t CountPrompts(TimePoint aNow) const;

private:
  static constexpr std::size_t kMaxSamples = 256;

  struct Sample
  {
    TimePoint at;
    double size = 0; ///< Prompt tokens for prefill samples, sequences for step samples.
    double seconds = 0;
  };

  /// Ring buffer of the newest samples.
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
