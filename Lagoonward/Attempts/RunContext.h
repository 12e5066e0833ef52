#pragma once

#include "Lagoonward/Admission/RetryBudget.h"
#include "Lagoonward/Attempts/AttemptSettings.h"
#include "Lagoonward/Attempts/CrashWitness.h"
#include "Lagoonward/Attempts/DecisionJournal.h"
#include "Lagoonward/Attempts/RequestDirectory.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Routing/Router.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <atomic>

namespace lagoonward {

/// Counters of all runs; read by the metrics page.
struct RunCounters
{
  std::atomic<std::uint64_t> accepted{ 0 };
  std::atomic<std::uint64_t> answeredWhole{ 0 };
  std::atomic<std::uint64_t> failed{ 0 };
  std::atomic<std::uint64_t> attempts{ 0 };
  std::atomic<std::uint64_t> retries{ 0 };
  std::atomic<std::uint64_t> moves{ 0 };
  std::atomic<std::uint64_t> silentConnections{ 0 };
  std::atomic<std::uint64_t> tokensRelayed{ 0 };
  std::atomic<std::uint64_t> tokensResent{ 0 }; ///< Prompt and answer tokens sent again on a move.
};

/// What a run works with. Everything outlives the run.
struct RunContext
{
  TrafficLoop& loop;
  Router& router; ///< The market's.
  RetryBudget& retryBudget;
  const FleetStore& fleet;
  DecisionJournal& journal;
  RunCounters& counters;
  const AttemptSettings& settings;
  RequestDirectory* directory; ///< Null when there are no other daemons.
  PoisonGuard& poison;
  CrashCheck& crashes;
};

} // namespace lagoonward
