#pragma once

#include "Lagoonward/Relay/RelayRun.h"
#include "Lagoonward/Wire/HttpExchange.h"

#include <functional>

namespace lagoonward {

/// How callers are spoken to: which request is meant, and how an error of this daemon is put.
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

/// A caller that waits on an HTTP connection.
class ExchangeCaller final : public RelayCaller
{
public:
  using ErrorWriter = std::function<RelayReply(const Error&)>;

  ExchangeCaller(HttpExchangePtr aExchange, ErrorWriter aWriteError);

  void Answer(RelayReply aReply) override;
  void Refuse(const Error& aError) override;
  void BeginStream(const RelayReply& aHead) override;
  void WriteEvent(std::string_view aBytes) override;
  void EndStream() override;
  void AbortStream() override;
  [[nodiscard]] bool IsGone() override;

private:
  HttpExchangePtr exchange;
  ErrorWriter writeError;
  bool overrun = false; ///< It does not take its events as fast as they come.
};

} // namespace lagoonward
