#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// What is asked of the deployment.
enum class RequestKind
{
  Draft,      ///< A long answer, streamed.
  Status,     ///< A short urgent answer, streamed or in one piece.
  Lookup,     ///< A plain service's call that may be repeated.
  Submission, ///< A plain service's call that must run at most once.
};

/// "draft", "status", "lookup" or "submission".
[[nodiscard]] std::string
ToString(RequestKind aKind);

/// One request and the answer that it must get.
struct PlannedRequest
{
  RequestKind kind = RequestKind::Draft;
  std::string key;       ///< Idempotency key, the same on every try.
  std::string clientKey; ///< The account's key.
  std::string market;
  std::string className;
  std::string path;
  std::string body;
  bool stream = false;
  bool continues = false; ///< Comes back with Last-Event-ID, rather than from the start.
  std::string expected;   ///< The text, or the service's result.
  Milliseconds startAfter{ 0 };
  Milliseconds deadline{ 0 };
};

/// How much of what is asked.
struct LoadSettings
{
  int drafts = 40;
  int statusChecks = 120;
  int lookups = 40;
  int submissions = 60;
  int draftWords = 600;  ///< Length of a draft's dossier.
  int draftTokens = 400; ///< Length of a draft's answer, at most.
  int statusTokens = 12;
  Milliseconds spread{ 10000 }; ///< All requests start within this time.
  std::uint64_t seed = 1;       ///< The same seed plans the same load.
};

/// Plans a mixed load for the manifest's market, in order of start: drafts at the class of lowest
/// priority, status checks at the highest, calls to the first service of either sort. Client keys are
/// `demo-key-NAME`, as in examples/.
[[nodiscard]] std::vector<PlannedRequest>
PlanLoad(const Manifest& aManifest, const LoadSettings& aSettings);

} // namespace lagoonward::standins
