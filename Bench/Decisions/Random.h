#pragma once

#include <cmath>
#include <cstdint>

namespace lagoonward::bench {

/// splitmix64 generator. Gives the same sequence with every compiler and standard library. Not thread-safe.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : state(aSeed)
  {
  }

  [[nodiscard]] std::uint64_t Next()
  {
    this->state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = this->state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
  }

  /// Uniform in [0, 1).
  [[nodiscard]] double Unit() { return std::ldexp(static_cast<double>(this->Next() >> 11U), -53); }

  /// Uniform in [aLow, aHigh].
  [[nodiscard]] int Between(int aLow, int aHigh)
  {
    const auto width = static_cast<std::uint64_t>(static_cast<std::int64_t>(aHigh) - aLow + 1);
    return aLow + static_cast<int>(this->Next() % width);
  }

  /// Exponentially distributed with the given mean.
  [[nodiscard]] double Exponential(double aMean) { return -aMean * std::log(1 - this->Unit()); }

private:
  std::uint64_t state;
};

} // namespace lagoonward::bench
