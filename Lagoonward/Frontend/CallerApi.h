#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Frontend/CallReader.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoonward {

/// The HTTP interface for callers: validates each request, submits it to the RunService and writes the answer.
/// Its paths and headers are in docs/INTERFACES.md.
class CallerApi final : public Service
{
public:
  static constexpr std::string_view kName = "callers";

  /// @param aOnUnknownMarket  called with the name of a market that a request names and this daemon does not follow
  ///                          yet, so that it starts to follow it; any thread
  /// @param aConnections  of all servers of the process
  CallerApi(HttpServerSettings aServer, std::shared_ptr<ConnectionTable> aConnections,
            const CallSettings& aCalls, Milliseconds aDrainNotice, const Clock& aClock,
            MarketDirectory& aMarkets, RunService& aRuns,
            std::function<void(const std::string& aMarket)> aOnUnknownMarket);

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  /// Keeps serving for the drain notice, then accepts no new connections and waits for the open requests.
  void Drain() override;
  void Stop() override;

  /// The port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;
  [[nodiscard]] int OpenRequests() const;

private:
  void Handle(const HttpRequest& aRequest, const HttpExchangePtr& aExchange);
  void HandleCompletion(const HttpRequest& aRequest, const HttpExchangePtr& aExchange);
  void HandleService(const HttpRequest& aRequest, const HttpExchangePtr& aExchange);
  [[nodiscard]] Result<MarketPtr> FindMarket(const HttpRequest& aRequest);

  CallReader reader;
  Milliseconds drainNotice;
  MarketDirectory& markets;
  RunService& runs;
  std::function<void(const std::string&)> onUnknownMarket;
  HttpServer server;
};

} // namespace lagoonward
