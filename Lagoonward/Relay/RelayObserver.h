#pragma once

#include "Lagoonward/Core/Error.h"
#include "Lagoonward/Relay/AttemptEnd.h"
#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Routing/EngineWork.h"

#include <optional>
#include <string_view>

namespace lagoonward {

/// How a relayed request ended.
struct RelayEnd
{
  int status = 0;       ///< As the caller got it; zero when it had gone.
  bool whole = false;   ///< A success, whole.
  int sends = 0;        ///< Attempts that may have reached an endpoint.
  std::string reason;   ///< Why it was not a success; empty for one.
  std::string endpoint; ///< The last one asked; empty for none.
};

/// How one attempt at an endpoint failed.
struct FailedAttempt
{
  std::string_view endpoint;
  AttemptCause cause = AttemptCause::None;
  std::string_view reason; ///< For logs.
  bool goesOn = false;     ///< The request is sent again.
};

/// Hears what happens to relayed requests, on the traffic loop: for logs, metrics, metering and demand.
class RelayObserver
{
public:
  virtual ~RelayObserver() = default;

  virtual void OnAccepted(const RelayCall& aCall) = 0;
  /// @param aWork  what it asks of the endpoint; nothing where an earlier send has told of it
  virtual void OnSent(const RelayCall& aCall, std::string_view aEndpoint, int aSend,
                      const EngineWork& aWork) = 0;
  /// An endpoint has begun to answer for the first time: the request runs.
  virtual void OnBegan(const RelayCall& aCall) = 0;
  virtual void OnAttemptFailed(const RelayCall& aCall, const FailedAttempt& aFailed) = 0;
  /// A stream was moved from an endpoint that leaves, or could not be.
  virtual void OnMoved(const RelayCall& aCall, std::string_view aFrom, std::string_view aTo,
                       bool aMoved, std::string_view aReason) = 0;
  virtual void OnEnded(const RelayCall& aCall, const RelayEnd& aEnd) = 0;
};

} // namespace lagoonward
