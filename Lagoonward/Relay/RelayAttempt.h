#pragma once

#include "Lagoonward/Relay/AttemptEnd.h"
#include "Lagoonward/Relay/EventSplitter.h"
#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Relay/RelaySettings.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Hears of one attempt, on the traffic loop.
class AttemptListener
{
public:
  virtual ~AttemptListener() = default;

  /// The head of an answer that the asked endpoint gave, whatever it says of the request.
  virtual void OnHead(const EndpointHead& aHead) = 0;

  /// The head of a stream of events, a success.
  virtual void OnStreamHead(const RelayReply& aHead) = 0;

  /// One whole event of that stream.
  virtual void OnStreamEvent(std::string_view aBytes, std::string_view aId) = 0;

  /// The attempt is over and may be destroyed.
  virtual void OnAttemptEnd(const AttemptEnd& aEnd) = 0;
};

/// Sends a relayed request to one endpoint once and judges what comes back: only the whole answer of
/// this very request counts. Lives on one TrafficLoop.
class RelayAttempt final : private HttpTransferObserver
{
public:
  /// All references must outlive the attempt.
  RelayAttempt(TrafficLoop& aLoop, const RelaySettings& aSettings,
               const EndpointLanguage& aLanguage, const RelayCall& aCall,
               AttemptListener& aListener);
  ~RelayAttempt() override;
  RelayAttempt(const RelayAttempt&) = delete;
  RelayAttempt& operator=(const RelayAttempt&) = delete;

  /// Sends the request to an address `IP:PORT`.
  /// @param aMayBeSent  see HttpTransferRequest
  void Start(std::string_view aAddress, const SendTerms& aTerms, std::function<bool()> aMayBeSent);

private:
  void OnHeaderLine(std::string_view aLine) override;
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  /// Reads the head once the body begins or the transfer ends.
  void ReadHead(int aStatus);
  [[nodiscard]] bool IsOwnSuccess() const;
  [[nodiscard]] AttemptEnd Judge(const TransferEnd& aEnd);

  TrafficLoop& loop;
  const RelaySettings& settings;
  const EndpointLanguage& language;
  const RelayCall& call;
  AttemptListener& listener;
  TransferId transfer = 0;

  std::vector<HttpHeader> headers; ///< Of the answer, as they come.
  EndpointHead head;
  bool headRead = false;
  std::string body;
  EventSplitter events;
  bool unusable = false; ///< The body is too large or no stream of events.
};

} // namespace lagoonward
