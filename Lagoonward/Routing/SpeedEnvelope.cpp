#include "Lagoonward/Routing/SpeedEnvelope.h"

#include <algorithm>
#include <span>

namespace lagoonward {

namespace {

/// The value below which the fraction aFraction of the values lies. Reorders the values, which must not be empty.
double
Quantile(std::vector<double>& aValues, double aFraction)
{
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto nth = aValues.begin() + static_cast<std::ptrdiff_t>(aFraction * last);
  std::nth_element(aValues.begin(), nth, aValues.end());
  return *nth;
}

} // namespace

SpeedEnvelope::SpeedEnvelope(const SpeedEnvelopeSettings& aSettings)
  : settings(aSettings)
{
}

void
SpeedEnvelope::SampleRing::Add(const Sample& aSample)
{
  this->samples[this->count % kMaxSamples] = aSample;
  ++this->count;
}

std::vector<SpeedEnvelope::Sample>
SpeedEnvelope::SampleRing::Since(TimePoint aFrom) const
{
  std::vector<Sample> recent;
  const auto kept = static_cast<std::ptrdiff_t>(std::min(this->count, kMaxSamples));
  std::copy_if(this->samples.begin(), this->samples.begin() + kept, std::back_inserter(recent),
               [&](const Sample& aSample) { return aSample.at >= aFrom; });
  return recent;
}

void
SpeedEnvelope::OnPrompt(TimePoint aNow, int aFreshTokens, double aSeconds)
{
  if (aFreshTokens >= this->settings.minPromptTokens && aSeconds > 0) {
    this->prompts.Add({ aNow, static_cast<double>(aFreshTokens), aSeconds });
  }
}

void
SpeedEnvelope::OnStep(TimePoint aNow, double aSequences, double aSecondsPerToken)
{
  if (aSecondsPerToken > 0) {
    this->steps.Add({ aNow, std::max(aSequences, 1.0), aSecondsPerToken });
  }
}

std::size_t
SpeedEnvelope::CountPrompts(TimePoint aNow) const
{
  return this->prompts.Since(aNow - this->settings.window).size();
}

std::optional<double>
SpeedEnvelope::PromptTokensPerSecond(TimePoint aNow, double aStepSeconds) const
{
  std::vector<Sample> recent = this->prompts.Since(aNow - this->settings.window);
  if (recent.size() < this->settings.minSamples) {
    return std::nullopt;
  }
  // Use the longer half of the prompts: the shorter a prompt, the larger the part of its time that is not prefill
  const auto middle = recent.begin() + static_cast<std::ptrdiff_t>(recent.size() / 2);
  std::nth_element(
    recent.begin(), middle, recent.end(),
    [](const Sample& aLeft, const Sample& aRight) { return aLeft.size < aRight.size; });
  std::vector<double> speeds;
  for (const Sample& sample : std::span(middle, recent.end())) {
    // Lower bound of the prefill time as a fraction of the total, in case the step time is overestimated
    constexpr double kMinPrefillFraction = 0.2;
    const double prefillSeconds =
      std::max(sample.seconds - aStepSeconds, sample.seconds * kMinPrefillFraction);
    speeds.push_back(sample.size / prefillSeconds);
  }
  return Quantile(speeds, this->settings.promptQuantile);
}

std::optional<StepTimes>
SpeedEnvelope::Steps(TimePoint aNow) const
{
  std::vector<Sample> recent = this->steps.Since(aNow - this->settings.window);
  if (recent.size() < this->settings.minSamples) {
    return std::nullopt;
  }
  std::sort(recent.begin(), recent.end(),
            [](const Sample& aLeft, const Sample& aRight) { return aLeft.size < aRight.size; });

  // Fit a line through the quantiles of the smaller and of the larger batches
  struct Half
  {
    double sequences = 0;
    double seconds = 0;
  };
  const auto summarize = [&](std::span<const Sample> aSamples) {
    Half half;
    std::vector<double> seconds;
    for (const Sample& sample : aSamples) {
      half.sequences += sample.size / static_cast<double>(aSamples.size());
      seconds.push_back(sample.seconds);
    }
    half.seconds = Quantile(seconds, this->settings.stepQuantile);
    return half;
  };
  const std::span<const Sample> all(recent);
  const Half small = summarize(all.first(all.size() / 2));
  const Half large = summarize(all.subspan(all.size() / 2));
  const double contrast = large.sequences - small.sequences;
  double growth = this->settings.defaultGrowth;
  if (contrast >= this->settings.minBatchContrast) {
    const double perSequence = (large.seconds - small.seconds) / contrast;
    const double base = small.seconds - perSequence * small.sequences;
    growth = base > 0 ? perSequence / base : this->settings.maxGrowth;
  }
  growth = std::clamp(growth, 0.0, this->settings.maxGrowth);
  StepTimes times;
  times.base = small.seconds / (1 + growth * small.sequences);
  times.perSequence = times.base * growth;
  return times;
}

} // namespace lagoonward
