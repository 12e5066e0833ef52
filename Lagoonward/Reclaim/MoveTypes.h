#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// How a stream is moved off a leaving endpoint.
enum class MoveKind
{
  FinishInPlace, ///< Not moved; expected to end before the endpoint terminates.
  ExportImport,  ///< Its KV cache is copied while it keeps generating; then it resumes there.
  Reprefill,     ///< Runs until `startAt`, then resumes at the target, which prefills the rest.
  Unplaced,      ///< No target can accept it now. Not moved; a later plan tries again.
};

/// "finish_in_place", "export_import", "reprefill" or "unplaced".
[[nodiscard]] std::string_view
ToString(MoveKind aKind);

/// An endpoint that serves exactly the model, adapter and version of a stream.
struct MoveCandidate
{
  std::string endpoint;
  int cachedTokens = 0; ///< Estimated number of tokens of the stream's prefix in its cache.
};

/// A move that was planned earlier. Once started it is continued unless its target is unusable or its export is late.
struct MoveInProgress
{
  MoveKind kind = MoveKind::Reprefill;
  std::string target;
  TimePoint startAt; ///< Actual or planned start.
  TimePoint readyAt; ///< When the target is expected to resume the stream.
};

/// The planner's input for one running stream.
struct StreamView
{
  std::string id;
  std::string endpoint;     ///< Id of the endpoint that runs it.
  TimePoint availableUntil; ///< End of the endpoint's guaranteed time; past if it has terminated.
  int promptTokens = 0;
  int generatedTokens = 0;         ///< Tokens that the daemon has received.
  double expectedRemaining = 0;    ///< Estimated number of tokens left to generate.
  double tokensPerSecond = 30;     ///< Current generation rate.
  TimePoint deadline;              ///< When the response must be complete.
  std::int64_t kvBytes = 0;        ///< Size of its KV cache; zero if it cannot be exported.
  double exportBytesPerSecond = 0; ///< This daemon's share of the endpoint's outgoing bandwidth.
  std::vector<MoveCandidate> candidates; ///< The only endpoints that can be its target.
  std::optional<MoveInProgress> inProgress;
};

/// An endpoint that can be the target of moves.
struct MoveTarget
{
  std::string endpoint;
  std::string failureDomain;
  bool leaving = false;        ///< Under a reclaim notice, or not live.
  bool domainLeaving = false;  ///< Its failure domain as a whole is leaving.
  int freeSlots = 0;           ///< Number of additional streams that it can run.
  double tokensPerSecond = 30; ///< Generation rate of an additional stream.
  double prefillTokensPerSecond = 8'000;
  double importBytesPerSecond = 0; ///< Zero if it cannot import.
  double pricePerHour = 0;
  double reclaimChance = 0; ///< Probability that it is reclaimed while the stream runs there.
};

/// The planned action for one stream. Idempotent: repeating a step has no effect.
struct MovePlan
{
  std::string stream;
  MoveKind kind = MoveKind::Unplaced;
  std::string target;            ///< Empty unless the stream moves.
  TimePoint startAt;             ///< When to export, or to stop here and resume at the target.
  TimePoint readyAt;             ///< When the target is expected to resume the stream.
  double recomputedTokens = 0;   ///< Expected tokens that the target prefills again.
  Milliseconds expectedGap{ 0 }; ///< Expected pause in the output to the caller.
  bool missesDeadline = false;   ///< The chosen option is expected to miss the deadline.
};

} // namespace lagoonward
