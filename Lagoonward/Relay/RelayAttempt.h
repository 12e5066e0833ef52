#pragma once

#include "Lagoonward/Relay/AttemptResult.h"
#include "Lagoonward/Relay/EmbeddedHeadFinder.h"
#include "Lagoonward/Relay/EventSplitter.h"
#include "Lagoonward/Relay/PathMonitor.h"
#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Relay/RelaySettings.h"
#include "Lagoonward/Wire/ResponseMemory.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Receives the events of one attempt. Called on the traffic loop.
class AttemptListener
{
public:
  virtual ~AttemptListener() = default;

  /// A response head that provably came from the target endpoint, with any status.
  virtual void OnHead(const EndpointHead& aHead) = 0;

  /// The head of an event stream with a success status.
  virtual void OnStreamHead(const RelayReply& aHead) = 0;

  /// One complete event of that stream.
  virtual void OnStreamEvent(std::string_view aBytes, std::string_view aId) = 0;

  /// The attempt has finished and may be destroyed.
  virtual void OnAttemptEnd(AttemptResult aEnd) = 0;
};

/// Sends a relayed request to one endpoint once and classifies the response. Only a complete response to this
/// request counts as a success. Not thread-safe: used on one TrafficLoop.
class RelayAttempt final : private HttpTransferObserver
{
public:
  /// All references must outlive the attempt.
  RelayAttempt(TrafficLoop& aLoop, const RelaySettings& aSettings,
               const AnyEndpointDialect& aDialect, PathMonitor& aPath,
               ResponseMemory& aResponseMemory, const RelayCall& aCall, AttemptListener& aListener);
  ~RelayAttempt() override;
  RelayAttempt(const RelayAttempt&) = delete;
  RelayAttempt& operator=(const RelayAttempt&) = delete;

  /// Sends the request to the address `IP:PORT`.
  /// @param aMayBeSent  see HttpTransferRequest
  void Start(std::string_view aAddress, const SendOptions& aTerms,
             std::function<bool()> aMayBeSent);

private:
  void OnHeaderLine(std::string_view aLine) override;
  void OnHeadComplete(const TransferHead& aHead) override;
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  /// Whether the endpoint rejects a request with this head, which may be another one.
  [[nodiscard]] bool IsRejection() const;
  [[nodiscard]] bool IsMisdirected() const;
  [[nodiscard]] bool IsGenuineSuccess() const;
  /// Whether the body is passed on event by event. That of a plain request is kept until it is complete, whatever its
  /// type, as the request may be repeated after a broken one.
  [[nodiscard]] bool ForwardsEvents() const;
  /// Ends the transfer because its response is of no use.
  /// @param aReason  for logs
  void Stop(std::string aReason);
  /// Accounts for the memory of the response.
  /// @return false if it has been evicted
  [[nodiscard]] bool UpdateMemory();
  /// Frees the response, whose memory others need.
  void OnEvicted();
  void AppendToBody(std::string_view aBytes);
  void ForwardEvents(std::string_view aBytes);
  void ForwardEvent(std::string_view aEvent, std::string_view aId);
  /// Whether the body or the trailers hold the head of a second response.
  [[nodiscard]] bool HoldsOtherHead() const;
  [[nodiscard]] AttemptResult Classify(const TransferEnd& aEnd);

  TrafficLoop& loop;
  const RelaySettings& settings;
  const AnyEndpointDialect& dialect;
  PathMonitor& path;
  ResponseMemory& responseMemory;
  const RelayCall& call;
  AttemptListener& listener;
  TransferId transfer = 0;
  std::string endpointId;

  ResponseTrace trace;
  std::vector<HttpHeader> headers; ///< Response headers received so far.
  EndpointHead head;
  bool headRead = false;
  bool provenNotRun = false; ///< The response rejects this request.
  bool isForeign = false;    ///< See AttemptResult.
  bool bodyBegun = false;
  std::string body;
  EventSplitter events;
  std::vector<HttpHeader> trailers; ///< Of a chunked body.
  EmbeddedHeadFinder embeddedHeads;
  std::size_t headBytes = 0; ///< Memory of all header lines, with those that no longer count.
  std::optional<ResponseMemory::Account> memory; ///< Of the response, while the transfer runs.
  std::string stopReason;                        ///< See Stop(); empty if it was not called.
};

} // namespace lagoonward
