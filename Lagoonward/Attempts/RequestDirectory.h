#pragma once

#include "Lagoonward/Attempts/Answer.h"
#include "Lagoonward/Core/Result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Location of the run of a request with an idempotency key. A sibling daemon stores it, so that a caller who
/// reconnects through another daemon joins the run.
struct RequestLocation
{
  std::string key; ///< CallTerms::RegistryKey().
  std::uint64_t bodyHash = 0;
  std::string endpointId;
  std::string streamId;       ///< The engine's id; empty until known, and for plain services.
  std::uint32_t revision = 0; ///< Increases with each change.
  Milliseconds lifetime{ 0 };
  bool finished = false;
};

/// A request that runs or has run at another daemon.
struct RemoteRequest
{
  std::uint64_t server = 0; ///< The daemon's id in the directory.
  bool isServerAlive = false;
  std::uint64_t bodyHash = 0;
  std::string endpointId; ///< Empty if not known here.
  std::string streamId;
};

/// A consecutive piece of an answer, read from another daemon.
struct AnswerPart
{
  bool isKnown = false;            ///< Whether that daemon knows the request.
  bool isConflict = false;         ///< The key was used there with a different body.
  std::vector<std::string> tokens; ///< Starting at AnswerQuery::fromToken.
  bool ended = false;
  std::optional<Error> failure; ///< Set if the answer ended with an error.
  std::string finishReason;
  ServiceReply reply;
};

/// Query for the tokens of an answer from a position on.
struct AnswerQuery
{
  std::string key;
  std::uint64_t bodyHash = 0;
  std::size_t fromToken = 0;
};

/// Exchange between daemons about requests with idempotency keys. All functions are thread-safe; handlers are called
/// once, from any thread.
class RequestDirectory
{
public:
  using FindCallback = std::function<void(std::optional<RemoteRequest> aRequest)>;
  using ReadCallback = std::function<void(Result<AnswerPart> aPart)>;

  virtual ~RequestDirectory() = default;

  /// Sends the location of a request to a sibling without waiting for a confirmation. If the message is lost, an
  /// idempotent request may run a second time; the answer is never wrong.
  virtual void PublishLocation(const RequestLocation& aPlace) = 0;

  /// Searches the siblings for a request, with a short time limit.
  virtual void Find(const std::string& aKey, FindCallback aFound) = 0;

  /// Reads a piece of an answer from the daemon that serves it. Errors: PlatformUnavailable, EndpointFailed,
  /// DeadlineExceeded; all of them mean that the daemon did not respond.
  virtual void Read(std::uint64_t aServer, const AnswerQuery& aQuery, ReadCallback aPart) = 0;
};

} // namespace lagoonward
