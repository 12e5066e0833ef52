#pragma once

#include "Lagoonward/Relay/RelayRun.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <functional>

namespace lagoonward {

/// Protocol between callers and this daemon: parses requests and formats the errors of this daemon.
template<typename Dialect>
concept CallerDialect = requires(const Dialect& aDialect, HttpRequest aRequest, const Error& aError)
{
  {
    aDialect.Read(std::move(aRequest))
    } -> std::same_as<Result<RelayCall>>;
  {
    aDialect.WriteError(aError)
    } -> std::same_as<RelayReply>;
};

/// RelayCaller for an HTTP connection: writes the response to its HttpExchange. Used on the traffic loop.
class HttpRelayCaller final : public RelayCaller
{
public:
  using ErrorWriter = std::function<RelayReply(const Error&)>;

  HttpRelayCaller(HttpExchangePtr aExchange, ErrorWriter aWriteError);

  void SendResponse(RelayReply aReply) override;
  void SendError(const Error& aError) override;
  void BeginStream(const RelayReply& aHead) override;
  void WriteEvent(std::string_view aBytes) override;
  void EndStream() override;
  void AbortStream() override;
  [[nodiscard]] bool IsDisconnected() override;
  [[nodiscard]] std::size_t HeldBytes() override;
  void Discard() override;

private:
  HttpExchangePtr exchange;
  ErrorWriter writeError;
  /// The caller reads events more slowly than they arrive, or has disconnected, or the response was discarded.
  bool overrun = false;
};

} // namespace lagoonward
