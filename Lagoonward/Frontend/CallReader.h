#pragma once

#include "Lagoonward/Attempts/CompletionCall.h"
#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <optional>

namespace lagoonward {

/// Tunables of what callers may ask for.
struct CallSettings
{
  int defaultMaxTokens = 256;        ///< When the body names none.
  int maximumMaxTokens = 32'768;     ///< Largest answer that may be asked for.
  std::size_t maximumKeyBytes = 256; ///< Longest idempotency key.
  Milliseconds maximumDeadline{ 24 * 3600 * 1000 };
};

/// The shape in which a caller wants a model's answer.
struct AnswerShape
{
  bool chat = false;                    ///< Chat objects rather than completion objects.
  bool stream = false;                  ///< Server-sent events rather than one JSON body.
  std::optional<std::size_t> fromToken; ///< First token that the caller still lacks.
};

/// A checked completion request with its shape.
struct CompletionRequest
{
  CompletionCall call;
  AnswerShape shape;
};

/// Checks callers' requests against what is in force and turns them into calls. Pure.
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

  /// Path prefix of services' calls.
  static constexpr std::string_view kServicePrefix = "/v1/services/";
  static constexpr std::string_view kCompletionPath = "/v1/completions";
  static constexpr std::string_view kChatPath = "/v1/chat/completions";

private:
  [[nodiscard]] Result<CallTerms> ReadTerms(const HttpRequest& aRequest,
                                            const Configuration& aConfiguration) const;
  [[nodiscard]] Result<void> ReadDeadline(const HttpRequest& aRequest, CallTerms& aTerms) const;
  [[nodiscard]] Result<int> ReadMaxTokens(const std::optional<std::int64_t>& aAsked) const;

  CallSettings settings;
  const Clock& clock;
};

} // namespace lagoonward
