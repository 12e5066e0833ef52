#pragma once

#include <optional>
#include <vector>

namespace lagoonward::bench {

/// A plane over two quantities.
struct FittedPlane
{
  double constant = 0;
  double first = 0;           ///< Slope in the first quantity.
  double second = 0;          ///< Slope in the second one.
  double largestResidual = 0; ///< Largest distance of a sample from the plane.
};

/// Least squares over samples of two quantities.
class LinearFit
{
public:
  void Add(double aFirst, double aSecond, double aValue);

  /// Nothing when the samples do not determine a plane.
  [[nodiscard]] std::optional<FittedPlane> Solve() const;

private:
  struct Sample
  {
    double first = 0;
    double second = 0;
    double value = 0;
  };

  std::vector<Sample> samples;
};

} // namespace lagoonward::bench
