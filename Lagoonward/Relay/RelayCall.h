#pragma once

#include "Lagoonward/Relay/RelayRoutes.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <concepts>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// One part of a prompt that requests may share, in the prompt's order.
struct PromptPart
{
  std::uint64_t id = 0;
  int tokens = 0;
};

/// One request that is passed on as it came, and the terms on which it is.
struct RelayCall
{
  std::string id;     ///< Names this request everywhere; unique.
  std::string method; ///< Passed on unchanged, as are target, headers and body.
  std::string target;
  std::vector<HttpHeader> headers; ///< Only those that go on to the endpoint.
  std::string body;

  RelayRoutePtr route;
  std::int64_t configurationVersion = 0; ///< Under which it was accepted; for logs.
  std::string service;                   ///< Chosen among the route's.
  std::string account;                   ///< Empty where the route needs none.
  int priority = 0;                      ///< Higher goes first.
  TimePoint receivedAt;
  TimePoint deadline; ///< After it the caller does not wait any more.

  double limitTokens = 0; ///< What it uses of its account's limit.
  int promptTokens = 0;
  int outputTokens = 0; ///< Expected; zero for a plain service.
  int eventTokens = 1;  ///< Tokens in one event of its stream.
  std::vector<PromptPart> promptParts;
  std::string lastEventId; ///< A stream's caller has this event already; empty for none.
  std::uint64_t print = 0; ///< See PrintOf().

  /// When the final answer is due: the route's timeout or the deadline, whichever comes first.
  [[nodiscard]] TimePoint EndsAt() const;
};

/// Names what a request asks, whatever its id: the same each time that its account sends the same method, target and body.
[[nodiscard]] std::uint64_t
PrintOf(const RelayCall& aCall);

/// What an endpoint is told beside the request.
struct SendTerms
{
  std::string_view endpointId;  ///< Any other endpoint at that address must refuse the request.
  Milliseconds left{ 0 };       ///< Until the answer is of no use.
  int priority = 0;             ///< Higher goes first; see EnginePriority().
  std::string_view lastEventId; ///< The stream goes on after this event; empty for its beginning.
  std::string_view
    copy; ///< Memory of the same run that the endpoint is to go on from; empty for none.
  std::string_view
    fetchFrom; ///< Address of an endpoint that keeps more of the prompt; empty for none.
};

/// A call that makes an endpoint stop a run and copy its memory elsewhere.
struct MoveOrder
{
  std::string path;
  std::string body;
};

/// What came of moving a running stream's memory to another endpoint.
struct MoveEnd
{
  bool moved = false; ///< The memory lies at the destination; the run has stopped at the source.
  std::string handle; ///< Names the memory; empty where the source did not say.
  std::string reason; ///< For logs.
};

/// What an answer says of the requests that its endpoint takes from all daemons together.
struct LimitStatement
{
  enum class Kind
  {
    None,      ///< Nothing: no limit holds.
    Limited,   ///< So many requests per second.
    Malformed, ///< Not to be understood: what was said before holds on.
  };

  Kind kind = Kind::None;
  double perSecond = 0; ///< Of Limited; finite, not negative.
};

/// What the head of an endpoint's answer says.
struct EndpointHead
{
  int status = 0;
  bool belongs = false;    ///< It answers the request that was sent.
  bool genuine = false;    ///< It bears the mark that endpoints put on their own answers.
  bool notRun = false;     ///< It proves that the request did not run.
  bool otherOwner = false; ///< Another endpoint has this address now.
  bool encoded = false;    ///< Its body was changed on the way.
  bool streamsEvents = false;
  LimitStatement limit; ///< Of the requests that the endpoint takes from all daemons together.
  std::vector<HttpHeader> headers; ///< Those that the caller gets.
};

/// How endpoints are spoken to, as functions of one EndpointDialect.
struct EndpointLanguage
{
  std::function<std::vector<std::string>(const RelayCall&, const SendTerms&)> writeHeaders;
  std::function<EndpointHead(const RelayCall&, int, std::span<const HttpHeader>)> readHead;
  std::function<MoveOrder(const RelayCall&, std::string_view aDestination)> writeMove;
  std::function<MoveEnd(int aStatus, const std::string& aBody)> readMove;
};

/// How endpoints are spoken to: which header lines go with a request, what an answer's head says, and how a
/// run is moved.
template<typename Dialect>
concept EndpointDialect = requires(const Dialect& aDialect, const RelayCall& aCall,
                                   const SendTerms& aTerms, std::span<const HttpHeader> aHeaders)
{
  {
    aDialect.WriteHeaders(aCall, aTerms)
    } -> std::same_as<std::vector<std::string>>;
  {
    aDialect.ReadHead(aCall, 0, aHeaders)
    } -> std::same_as<EndpointHead>;
  {
    aDialect.WriteMove(aCall, std::string_view())
    } -> std::same_as<MoveOrder>;
  {
    aDialect.ReadMove(0, std::string())
    } -> std::same_as<MoveEnd>;
};

/// Makes a dialect's functions available to code that is compiled once for all dialects.
template<EndpointDialect Dialect>
[[nodiscard]] EndpointLanguage
LanguageOf(Dialect aDialect)
{
  return { [aDialect](const RelayCall& aCall, const SendTerms& aTerms) {
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
           } };
}

} // namespace lagoonward
