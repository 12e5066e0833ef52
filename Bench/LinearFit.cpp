#include "Bench/LinearFit.h"

#include <algorithm>
#include <cmath>

namespace lagoonward::bench {

void
LinearFit::Add(double aFirst, double aSecond, double aValue)
{
  this->samples.push_back({ aFirst, aSecond, aValue });
}

std::optional<FittedPlane>
LinearFit::Solve() const
{
  constexpr double kSingular = 1e-9;
  const auto count = static_cast<double>(this->samples.size());
  if (this->samples.size() < 3) {
    return std::nullopt;
  }
  // With the samples centered on their means, only the two slopes are unknown
  Sample mean;
  for (const Sample& sample : this->samples) {
    mean.first += sample.first / count;
    mean.second += sample.second / count;
    mean.value += sample.value / count;
  }
  double sumFirst = 0;
  double sumSecond = 0;
  double sumCross = 0;
  double firstValue = 0;
  double secondValue = 0;
  for (const Sample& sample : this->samples) {
    const double first = sample.first - mean.first;
    const double second = sample.second - mean.second;
    const double value = sample.value - mean.value;
    sumFirst += first * first;
    sumSecond += second * second;
    sumCross += first * second;
    firstValue += first * value;
    secondValue += second * value;
  }
  const double determinant = sumFirst * sumSecond - sumCross * sumCross;
  if (std::abs(determinant) < kSingular) {
    return std::nullopt;
  }
  FittedPlane plane;
  plane.first = (firstValue * sumSecond - secondValue * sumCross) / determinant;
  plane.second = (secondValue * sumFirst - firstValue * sumCross) / determinant;
  plane.constant = mean.value - plane.first * mean.first - plane.second * mean.second;
  for (const Sample& sample : this->samples) {
    const double fitted =
      plane.constant + plane.first * sample.first + plane.second * sample.second;
    plane.largestResidual = std::max(plane.largestResidual, std::abs(sample.value - fitted));
  }
  return plane;
}

} // namespace lagoonward::bench
