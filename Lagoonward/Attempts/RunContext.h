#pragma once

#include "Lagoonward/Admission/RetryBudget.h"
#include "Lagoonward/Attempts/AttemptSettings.h"
#include "Lagoonward/Attempts/DecisionJournal.h"
#include "Lagoonward/Attempts/RequestDirectory.h"
#include "Lagoonward/Attempts/RunCrashTracker.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Routing/Router.h"
#include "Lagoonward/Wire/ResponseMemory.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <atomic>

namespace lagoonward {

/// Counters of all runs; exported by RunMetrics.
struct RunCounters
{
  std::atomic<std::uint64_t> accepted{ 0 };
  std::atomic<std::uint64_t> succeeded{ 0 };
  std::atomic<std::uint64_t> failed{ 0 };
  std::atomic<std::uint64_t> attempts{ 0 };
  std::atomic<std::uint64_t> retries{ 0 };
  std::atomic<std::uint64_t> moves{ 0 };
  std::atomic<std::uint64_t> silentConnections{ 0 };
  std::atomic<std::uint64_t> tokensRelayed{ 0 };
  std::atomic<std::uint64_t> tokensResent{ 0 }; ///< Prompt and answer tokens sent again on a move.
};

/// Dependencies of a run. All of them outlive the run.
struct RunContext
{
  TrafficLoop& loop;
  Router& router; ///< The market's.
  RetryBudget& retryBudget;
  const FleetStore& fleet;
  DecisionJournal& journal;
  RunCounters& counters;
  const AttemptSettings& settings;
  RequestDirectory* directory; ///< Null if there are no other daemons.
  PoisonRequestFilter& poison;
  CrashProbe& crashProbe;
  ResponseMemory& responseMemory; ///< Of the loop.
};

} // namespace lagoonward
