#pragma once

#include "Lagoonward/Relay/RelayRoutes.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <concepts>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// One section of a prompt that several requests may share. Sections are in prompt order.
struct PromptPart
{
  std::uint64_t id = 0;
  int tokens = 0;
};

/// One request that is forwarded unchanged, with its routing and admission parameters.
struct RelayCall
{
  std::string id;     ///< Unique id of the request, used towards endpoints and in logs.
  std::string method; ///< Forwarded unchanged, as are target, headers and body.
  std::string target;
  std::vector<HttpHeader> headers; ///< Only the headers to forward to the endpoint.
  SharedBytes body;                ///< Shared with all attempts.

  RelayRoutePtr route;
  /// Version under which the request was accepted; for logs.
  std::int64_t configurationVersion = 0;
  std::string service; ///< The selected service of the route.
  std::string account; ///< Empty if the route requires none.
  int priority = 0;    ///< Higher values are served first.
  TimePoint receivedAt;
  TimePoint deadline; ///< The caller stops waiting at this time.

  double limitTokens = 0; ///< Tokens that the request consumes of its account's limit.
  int promptTokens = 0;
  int outputTokens = 0;   ///< Expected output tokens; zero for a plain service.
  int tokensPerEvent = 1; ///< Tokens per event of the stream.
  std::vector<PromptPart> promptParts;
  std::string lastEventId; ///< Last event that the caller of a stream already has; empty for none.
  /// Id of the caller's request that brought the first event of the stream that this one continues; empty for none.
  std::string resumedId;
  std::uint64_t fingerprint = 0;             ///< See ComputeFingerprint().
  std::vector<std::uint64_t> sharedPartKeys; ///< See ComputeSharedPartKeys().

  /// When the response must be complete: the route's timeout or the deadline, whichever is earlier.
  [[nodiscard]] TimePoint EffectiveDeadline() const;

  /// Whether the caller has events of the stream already, so that only its origin can continue it.
  [[nodiscard]] bool IsContinuation() const;
};

/// Hash of the account, method, target and body of a request. Independent of the request id, so that repeated
/// requests are recognized.
[[nodiscard]] std::uint64_t
ComputeFingerprint(const RelayCall& aCall);

/// Keys of the prompt parts that other requests may share: all but the last, which belongs to the request or its session.
/// Each part has one key for each service, whatever the account.
[[nodiscard]] std::vector<std::uint64_t>
ComputeSharedPartKeys(const RelayCall& aCall);

/// Metadata that is sent to an endpoint together with a request.
struct SendOptions
{
  /// Intended endpoint; any other one at that address must refuse the request.
  std::string_view endpointId;
  Milliseconds remainingTime{ 0 }; ///< Time until the response is no longer useful.
  int priority = 0;                ///< Higher values are served first; see EnginePriority().
  /// The stream continues after this event; empty to start at the beginning.
  std::string_view lastEventId;
  /// Handle of the copied state from which the endpoint continues the same run; empty for none.
  std::string_view stateHandle;
  /// Address of an endpoint that has more of the prompt cached; empty for none.
  std::string_view fetchFrom;
  /// The endpoint has received this request before; see HttpTransferRequest::freshConnection. A late response to the earlier
  /// send, which names the same request, must not be on the connection.
  bool wasSentBefore = false;
  /// The request is the only one on its connection, as the endpoint sends bytes of other responses; see ConnectionReuse.
  bool needsOwnConnection = false;
};

/// HTTP call that makes an endpoint stop a run and copy the state of the run to another endpoint.
struct MoveRequest
{
  std::string path;
  std::string body;
};

/// What the reply to a call that stops a run and copies its state proves about the run.
enum class StopState
{
  NotStopped, ///< The call has not stopped the run: its stream still ends by itself only.
  /// The call has stopped the run and closed its stream before its end. The source keeps the state.
  Stopped,
  /// The reply proves neither, or there is none: an end of the stream may be the run's own or that of the call.
  Unknown,
};

/// Result of moving the state of a running stream to another endpoint.
struct MoveResult
{
  bool moved = false; ///< The state is at the destination and the run has stopped at the source.
  /// Handle of the copied state; empty if the source gave none, or one that must not stand in a path or a header line. It
  /// may come with a failed move: the source then keeps the state until it is used or released.
  std::string handle;
  std::string reason; ///< For logs.
  StopState stopState = StopState::Unknown;
  /// Events that the run had made when it was stopped; empty if the reply doesn't say it.
  std::optional<std::int64_t> createdEvents;
};

/// Rate limit that an endpoint advertises in a response. It applies to the requests of all daemons together.
struct AdvertisedLimit
{
  enum class Kind
  {
    None,      ///< The response names no limit, so none applies.
    Limited,   ///< The endpoint accepts `perSecond` requests per second.
    Malformed, ///< Cannot be parsed; the previously advertised limit stays in force.
  };

  Kind kind = Kind::None;
  double perSecond = 0; ///< For Limited only; finite and not negative.
};

/// What an endpoint says in a response about the rejections that it survives.
struct AdvertisedBrittleness
{
  enum class Kind
  {
    None,      ///< The response says nothing.
    Brittle,   ///< The endpoint crashes when it rejects more than `tolerated` requests in a second.
    Malformed, ///< Cannot be parsed; what was said before stays in force.
  };

  Kind kind = Kind::None;
  double tolerated = 0; ///< For Brittle only; finite and not negative.
};

/// For how long an endpoint that rejects a request wants no more requests of this daemon.
struct AdvertisedBackoff
{
  enum class Kind
  {
    None,      ///< The response asks for no backoff.
    Backoff,   ///< The endpoint wants no requests for `time`.
    Malformed, ///< Cannot be parsed; a backoff asked for before stays in force.
  };

  Kind kind = Kind::None;
  Milliseconds time{ 0 }; ///< For Backoff only; positive.
};

/// Parsed head of an endpoint's response.
struct EndpointHead
{
  int status = 0;
  bool matchesRequest = false;    ///< The response names the request that was sent.
  bool namesOtherRequest = false; ///< It names another one. A response may also name none.
  bool isMarked = false;          ///< Has the mark that endpoints set on their own responses.
  /// The response states that the request to which it belongs did not run.
  bool notRun = false;
  bool addressReassigned = false; ///< It states that a different endpoint uses the address now.
  bool bodyEncoded = false; ///< The body was encoded on the way, so it is not the original one.
  bool streamsEvents = false;
  AdvertisedLimit limit; ///< Limit on the requests of all daemons together.
  AdvertisedBrittleness brittleness;
  AdvertisedBackoff backoff;
  bool isLeaving = false; ///< The endpoint says that it will terminate and wants no new requests.
  std::vector<HttpHeader> headers; ///< The headers to pass to the caller.
};

/// Type-erased EndpointDialect.
struct AnyEndpointDialect
{
  std::function<std::vector<std::string>(const RelayCall&, const SendOptions&)> writeHeaders;
  std::function<EndpointHead(const RelayCall&, int, std::span<const HttpHeader>)> readHead;
  std::function<MoveRequest(const RelayCall&, std::string_view aDestination)> writeMove;
  std::function<MoveResult(int aStatus, const std::string& aBody)> readMove;
  std::function<std::string(std::string_view aHandle)> writeRelease;
};

/// Protocol between this daemon and endpoints: the header lines of a request, the parsing of a response head, the call
/// that moves a run with its reply, and the path to which a `DELETE` is sent to free a copied state by its handle.
template<typename Dialect>
concept EndpointDialect = requires(const Dialect& aDialect, const RelayCall& aCall,
                                   const SendOptions& aTerms, std::span<const HttpHeader> aHeaders)
{
  {
    aDialect.WriteHeaders(aCall, aTerms)
    } -> std::same_as<std::vector<std::string>>;
  {
    aDialect.ReadHead(aCall, 0, aHeaders)
    } -> std::same_as<EndpointHead>;
  {
    aDialect.WriteMove(aCall, std::string_view())
    } -> std::same_as<MoveRequest>;
  {
    aDialect.ReadMove(0, std::string())
    } -> std::same_as<MoveResult>;
  {
    aDialect.WriteRelease(std::string_view())
    } -> std::same_as<std::string>;
};

/// Type-erases a dialect for code that is compiled once for all dialects.
template<EndpointDialect Dialect>
[[nodiscard]] AnyEndpointDialect
MakeAnyEndpointDialect(Dialect aDialect)
{
  return { [aDialect](const RelayCall& aCall, const SendOptions& aTerms) {
            return aDialect.WriteHeaders(aCall, aTerms);
          },
           [aDialect](const RelayCall& aCall, int aStatus, std::span<const HttpHeader> aHeaders) {
             return aDialect.ReadHead(aCall, aStatus, aHeaders);
           },
           [aDialect](const RelayCall& aCall, std::string_view aDestination) {
             return aDialect.WriteMove(aCall, aDestination);
           },
           [aDialect](int aStatus, const std::string& aBody) {
             return aDialect.ReadMove(aStatus, aBody);
           },
           [aDialect](std::string_view aHandle) { return aDialect.WriteRelease(aHandle); } };
}

} // namespace lagoonward
