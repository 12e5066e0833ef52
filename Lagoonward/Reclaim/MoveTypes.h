#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// How a stream leaves an endpoint that is going away.
enum class MoveKind
{
  FinishInPlace, ///< Stays; expected to end before the endpoint goes.
  ExportImport,  ///< Its KV cache is copied to the target while it goes on; then it resumes there.
  Reprefill,     ///< Goes on until `startAt`, then resumes at the target, which prefills the rest.
  Unplaced,      ///< No target can take it now. Stays; a later plan tries again.
};

/// "finish_in_place", "export_import", "reprefill" or "unplaced".
[[nodiscard]] std::string_view
ToString(MoveKind aKind);

/// An endpoint that serves exactly the model, adapter and version of a stream.
struct MoveCandidate
{
  std::string endpoint;
  int cachedTokens = 0; ///< Tokens of the stream's prefix that its cache is believed to hold.
};

/// A move that has begun. A plan keeps to it while its target stays.
struct MoveInProgress
{
  MoveKind kind = MoveKind::Reprefill;
  std::string target;
  TimePoint startAt; ///< When it began or is to begin.
  TimePoint readyAt; ///< When the target is expected to go on with the stream.
};

/// One running stream as the planner sees it.
struct StreamView
{
  std::string id;
  std::string endpoint; ///< Where it runs now.
  TimePoint goneAfter;  ///< Last promised moment of that endpoint; past if it is dead.
  int promptTokens = 0;
  int generatedTokens = 0;         ///< Tokens that the daemon holds already.
  double expectedRemaining = 0;    ///< Tokens still to come, estimated.
  double tokensPerSecond = 30;     ///< Speed at which it generates now.
  TimePoint deadline;              ///< When the caller's answer is due.
  std::int64_t kvBytes = 0;        ///< Size of its KV cache; zero when it can't be exported.
  double exportBytesPerSecond = 0; ///< This daemon's share of the endpoint's outgoing bandwidth.
  std::vector<MoveCandidate> candidates; ///< Only these may take it.
  std::optional<MoveInProgress> inProgress;
};

/// An endpoint that might take streams.
struct MoveTarget
{
  std::string endpoint;
  std::string failureDomain;
  bool leaving = false;        ///< Itself under notice, or not live.
  bool domainGoing = false;    ///< Its whole failure domain is going.
  int freeSlots = 0;           ///< Further streams that it can run at once.
  double tokensPerSecond = 30; ///< Speed that a further stream would get.
  double prefillTokensPerSecond = 8'000;
  double importBytesPerSecond = 0; ///< Zero when it can't import.
  double pricePerHour = 0;
  double reclaimChance = 0; ///< Chance that it is reclaimed while the stream runs there.
};

/// What to do with one stream. Idempotent: a step that is done again changes nothing.
struct MovePlan
{
  std::string stream;
  MoveKind kind = MoveKind::Unplaced;
  std::string target;            ///< Empty unless the stream moves.
  TimePoint startAt;             ///< When to export, or when to stop here and resume there.
  TimePoint readyAt;             ///< When the target is expected to go on.
  double recomputedTokens = 0;   ///< Expected tokens that the target prefills again.
  Milliseconds expectedGap{ 0 }; ///< Silence that the caller is expected to see.
  bool missesDeadline = false;   ///< No way was found that meets the deadline.
};

} // namespace lagoonward
