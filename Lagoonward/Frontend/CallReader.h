#pragma once

#include "Lagoonward/Attempts/CompletionCall.h"
#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <optional>

namespace lagoonward {

/// Limits and defaults for callers' requests.
struct CallSettings
{
  int defaultMaxTokens = 256;        ///< Used if the body has no limit.
  int maximumMaxTokens = 32'768;     ///< Largest limit that a caller may request.
  std::size_t maximumKeyBytes = 256; ///< Longest accepted idempotency key.
  Milliseconds maximumDeadline{ 24 * 3600 * 1000 };
};

/// The format in which a caller requests a model's answer.
struct AnswerFormat
{
  bool chat = false;                    ///< Chat objects instead of completion objects.
  bool stream = false;                  ///< Server-sent events instead of one JSON body.
  std::optional<std::size_t> fromToken; ///< First token to send, if the caller resumes a stream.
};

/// A validated completion request and the format of its answer.
struct CompletionRequest
{
  CompletionCall call;
  AnswerFormat format;
};

/// Validates callers' requests against the configuration in force and converts them to calls. Has no mutable state;
/// thread-safe.
class CallReader
{
public:
  CallReader(const CallSettings& aSettings, const Clock& aClock);

  /// Reads `POST /v1/completions` and `POST /v1/chat/completions`.
  /// Errors: InvalidRequest, Unauthorized, UnknownModel, UnknownClass.
  [[nodiscard]] Result<CompletionRequest> ReadCompletion(const HttpRequest& aRequest,
                                                         const Configuration& aConfiguration) const;

  /// Reads `POST /v1/services/{service}/{path}`.
  /// Errors: InvalidRequest, Unauthorized, UnknownService, UnknownClass.
  [[nodiscard]] Result<ServiceCall> ReadService(const HttpRequest& aRequest,
                                                const Configuration& aConfiguration) const;

  /// Path prefix of service calls.
  static constexpr std::string_view kServicePrefix = "/v1/services/";
  static constexpr std::string_view kCompletionPath = "/v1/completions";
  static constexpr std::string_view kChatPath = "/v1/chat/completions";

private:
  [[nodiscard]] Result<CallTerms> ReadTerms(const HttpRequest& aRequest,
                                            const Configuration& aConfiguration) const;
  [[nodiscard]] Result<void> ReadDeadline(const HttpRequest& aRequest, CallTerms& aTerms) const;
  [[nodiscard]] Result<int> ReadMaxTokens(const std::optional<std::int64_t>& aRequested) const;

  CallSettings settings;
  const Clock& clock;
};

} // namespace lagoonward
