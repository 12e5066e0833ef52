#pragma once

#include <optional>
#include <vector>

namespace lagoonward::bench {

/// A plane: a value as a linear function of two quantities.
struct FittedPlane
{
  double constant = 0;
  double first = 0;           ///< Slope in the first quantity.
  double second = 0;          ///< Slope in the second quantity.
  double largestResidual = 0; ///< Largest absolute difference of a sample from the plane.
};

/// Least-squares fit of a plane to samples of two quantities.
class LinearFit
{
public:
  void Add(double aFirst, double aSecond, double aValue);

  /// @return std::nullopt if the samples do not determine a plane
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
