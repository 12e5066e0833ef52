#pragma once

#include "Lagoonward/Attempts/Answer.h"
#include "Lagoonward/Core/Result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Where a request with an idempotency key runs. A sibling daemon keeps it, so that a caller who comes
/// back through another daemon joins the run.
struct RequestPlace
{
  std::string key; ///< CallTerms::RegistryKey().
  std::uint64_t bodyHash = 0;
  std::string endpointId;
  std::string streamId;       ///< The engine's; empty until known, and for plain services.
  std::uint32_t revision = 0; ///< Rises with each change.
  Milliseconds lifetime{ 0 };
  bool finished = false;
};

/// A request that runs, or ran, at another daemon.
struct FoundRequest
{
  std::uint64_t server = 0; ///< The daemon, as the directory names it.
  bool isServerAlive = false;
  std::uint64_t bodyHash = 0;
  std::string endpointId; ///< Empty when it is not known here.
  std::string streamId;
};

/// What another daemon has of an answer.
struct AnswerPart
{
  bool isKnown = false;            ///< Whether that daemon has the request at all.
  bool isConflict = false;         ///< The key was used there with another body.
  std::vector<std::string> tokens; ///< From the asked position on.
  bool ended = false;
  std::optional<Error> failure; ///< Set when it ended with an error.
  std::string finishReason;
  ServiceReply reply;
};

/// Asks for the rest of an answer.
struct AnswerQuery
{
  std::string key;
  std::uint64_t bodyHash = 0;
  std::size_t fromToken = 0;
};

/// What daemons tell each other of requests with idempotency keys. All functions are safe from any
/// thread; handlers are called once, from any thread.
class RequestDirectory
{
public:
  using Found = std::function<void(std::optional<FoundRequest> aRequest)>;
  using Part = std::function<void(Result<AnswerPart> aPart)>;

  virtual ~RequestDirectory() = default;

  /// Tells a sibling where a request runs. Fire and forget: losing it costs a second run of an
  /// idempotent request, never a wrong answer.
  virtual void Place(const RequestPlace& aPlace) = 0;

  /// Looks for a request at the siblings, for a short time only.
  virtual void Find(const std::string& aKey, Found aFound) = 0;

  /// Reads an answer at the daemon that serves it. Errors: PlatformUnavailable, EndpointFailed,
  /// DeadlineExceeded, all of which mean that the daemon did not answer.
  virtual void Read(std::uint64_t aServer, const AnswerQuery& aQuery, Part aPart) = 0;
};

} // namespace lagoonward
