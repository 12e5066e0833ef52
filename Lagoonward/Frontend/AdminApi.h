#pragma once

#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <prometheus/collectable.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// The HTTP interface for operators: `/healthz`, `/readyz`, `/metrics`, `/status`, `/requests/{id}`
/// and `POST /drain`.
class AdminApi final : public Service
{
public:
  static constexpr std::string_view kName = "admin";

  /// @param aReadiness  returns the reason why the daemon should get no requests, or nothing; any thread
  /// @param aStatus  returns the JSON text of `/status`; called on the server's thread
  /// @param aDrain   starts draining the daemon; returns immediately
  /// @param aConnections  of all servers of the process
  AdminApi(HttpServerSettings aServer, std::shared_ptr<ConnectionTable> aConnections,
           RunService& aRuns, std::function<std::optional<Error>()> aReadiness,
           std::function<std::string()> aStatus, std::function<void()> aDrain);

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Adds metrics to `/metrics`. Must be called before Start().
  void AddMetrics(std::shared_ptr<prometheus::Collectable> aMetrics);

  /// The port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

private:
  void Handle(const HttpRequest& aRequest, HttpExchange& aExchange);
  void HandleReady(HttpExchange& aExchange);
  void HandleMetrics(HttpExchange& aExchange);
  void HandleRequest(const std::string& aRequestId, HttpExchange& aExchange);

  RunService& runs;
  std::function<std::optional<Error>()> readiness;
  std::function<std::string()> status;
  std::function<void()> drain;
  std::vector<std::shared_ptr<prometheus::Collectable>> metrics;
  HttpServer server;
};

} // namespace lagoonward
