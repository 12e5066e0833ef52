#pragma once

#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Frontend/CallerApi.h"
#include "UnitTests/Support/FakeLogService.h"

#include <memory>
#include <set>
#include <string>

namespace lagoonward::bench {

/// The request path of one daemon with default settings: caller API, runs, claims and one market. Configuration and
/// fleet are fixed; membership and the platform are not part of it.
class PathDaemon
{
public:
  /// API key of the only client account, which has no limits.
  static constexpr std::string_view kClientKey = "path-bench";
  static constexpr std::string_view kModel = "permit-drafter";
  static constexpr std::string_view kVersion = "2026-10";
  static constexpr std::string_view kService = "plant-portal";

  /// @param aEnginePort  port of all its engines and services
  /// @param aEngineCount  number of engine ids that share the port
  PathDaemon(std::uint16_t aEnginePort, int aEngineCount);
  ~PathDaemon();
  PathDaemon(const PathDaemon&) = delete;
  PathDaemon& operator=(const PathDaemon&) = delete;

  [[nodiscard]] Result<void> Start();

  [[nodiscard]] std::uint16_t Port() const { return this->callers->Port(); }
  [[nodiscard]] const RunCounters& Counters() const { return this->runs->Counters(); }
  /// Processor time used by its threads, in seconds.
  [[nodiscard]] double ProcessorSeconds() const;

private:
  void Configure(std::uint16_t aEnginePort, int aEngineCount);

  SystemClock clock;
  FleetStore fleet;
  MarketDirectory markets;
  testing::FakeLogService log;
  std::unique_ptr<ClaimService> claims;
  std::unique_ptr<RunService> runs;
  std::unique_ptr<CallerApi> callers;
  std::set<std::string> threads;
};

} // namespace lagoonward::bench
