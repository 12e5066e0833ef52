#pragma once

#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Frontend/CallerApi.h"
#include "UnitTests/Support/FakeLogService.h"

#include <memory>
#include <set>
#include <string>

namespace lagoonward::bench {

/// The request path of one daemon with its default settings: the caller interface, runs, claims and one
/// market. Configuration and fleet are set by hand; membership and platform are left out.
class PathDaemon
{
public:
  /// Key of the only client account, which has no limits.
  static constexpr std::string_view kClientKey = "path-bench";
  static constexpr std::string_view kModel = "permit-drafter";
  static constexpr std::string_view kVersion = "2026-10";
  static constexpr std::string_view kService = "plant-portal";

  /// @param aEnginePort  where all of its engines and services listen
  /// @param aEngines  under how many ids
  PathDaemon(std::uint16_t aEnginePort, int aEngines);
  ~PathDaemon();
  PathDaemon(const PathDaemon&) = delete;
  PathDaemon& operator=(const PathDaemon&) = delete;

  [[nodiscard]] Result<void> Start();

  [[nodiscard]] std::uint16_t Port() const { return this->callers->Port(); }
  [[nodiscard]] const RunCounters& Counters() const { return this->runs->Counters(); }
  /// Processor time that its threads have used, in seconds.
  [[nodiscard]] double ProcessorSeconds() const;

private:
  void Configure(std::uint16_t aEnginePort, int aEngines);

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
