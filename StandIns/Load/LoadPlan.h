#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// Kind of a request to the deployment.
enum class RequestKind
{
  Draft,      ///< Long completion, streamed.
  Status,     ///< Short completion of high priority, streamed or not.
  Lookup,     ///< Idempotent call of a plain service.
  Submission, ///< Call of a plain service that must execute at most once.
};

/// "draft", "status", "lookup" or "submission".
[[nodiscard]] std::string
ToString(RequestKind aKind);

/// One request and its expected answer.
struct PlannedRequest
{
  RequestKind kind = RequestKind::Draft;
  std::string key;       ///< Idempotency key, the same for every attempt.
  std::string clientKey; ///< API key of the client account.
  std::string market;
  std::string className;
  std::string path;
  std::string body;
  bool stream = false;
  bool resumes = false; ///< Retries continue with Last-Event-ID instead of from the start.
  std::string expected; ///< Expected text, or the service's result.
  Milliseconds startAfter{ 0 };
  Milliseconds deadline{ 0 };
};

/// Size and composition of a load.
struct LoadSettings
{
  int drafts = 40;
  int statusChecks = 120;
  int lookups = 40;
  int submissions = 60;
  int draftWords = 600;  ///< Number of words in a draft's dossier.
  int draftTokens = 400; ///< Maximum number of tokens in a draft's answer.
  int statusTokens = 12;
  Milliseconds startWindow{ 10000 }; ///< All requests start within this window.
  std::uint64_t seed = 1;            ///< Equal seeds give equal plans.
};

/// Plans a mixed load for the manifest's market, ordered by start time: drafts in the class of lowest
/// priority, status checks in that of highest priority, calls to the first idempotent and the first
/// non-idempotent service. Client keys are `demo-key-NAME`, as in examples/.
[[nodiscard]] std::vector<PlannedRequest>
PlanLoad(const Manifest& aManifest, const LoadSettings& aSettings);

} // namespace lagoonward::standins
