#pragma once

#include "StandIns/Http/HttpServer.h"
#include "StandIns/Scheduler.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward::standins {

/// One fault that was asked for: `{"fault":…, "count":…, "ms":…, "path":…, "after":…, "mode":…}`.
struct Fault
{
  std::string kind;
  std::int64_t count = 1;                  ///< Requests that it still strikes.
  std::chrono::milliseconds duration{ 0 }; ///< `ms`: length of the delay or of the outage.
  std::string path;                        ///< Strikes only paths that begin so.
  std::int64_t after = 0;                  ///< Tokens that a struck stream still sends.
  std::string mode;                        ///< Variant of the fault.
  std::chrono::steady_clock::time_point asked;
};

/// The faults that one stand-in has been asked to show, and how the ones that every stand-in knows
/// are carried out. Set at run time through `POST /faults`, listed by `GET /faults`, removed by
/// `DELETE /faults`. Safe from any thread.
///
/// Known everywhere: `slow`, `hang`, `lost_answer`, `outage`, `silent`. A stand-in names the kinds
/// that it carries out besides.
class Faults
{
public:
  using Exchange = std::shared_ptr<HttpExchange>;
  using Handler = std::function<void(const Exchange&)>;

  /// @param aOwnKinds  faults that the stand-in takes for itself with Take()
  Faults(Scheduler& aScheduler, std::vector<std::string> aOwnKinds);

  /// Which server `silent` strikes.
  void Attach(HttpServer* aServer);

  /// Handles `/faults` itself, applies the common faults, and passes the request on to aHandler
  /// unless a fault has swallowed it.
  void Filter(const Exchange& aExchange, const Handler& aHandler);

  /// Counts down and returns the oldest matching fault of that kind.
  [[nodiscard]] std::optional<Fault> Take(std::string_view aKind, std::string_view aPath);

  /// Called with each accepted fault of the stand-in's own kinds that acts at once.
  void OnImmediate(std::string aKind, std::function<void(const Fault&)> aAction);

private:
  void HandleControl(const Exchange& aExchange);
  void Accept(const Exchange& aExchange);
  void Apply(const Fault& aFault, const Exchange& aExchange);
  [[nodiscard]] bool IsKnown(const std::string& aKind) const;
  [[nodiscard]] bool IsOut(const Exchange& aExchange);

  Scheduler& scheduler;
  std::vector<std::string> ownKinds;
  std::mutex mutex;
  HttpServer* server = nullptr;
  std::vector<Fault> faults;
  std::vector<std::pair<std::string, std::function<void(const Fault&)>>> immediate;
};

/// `{"error":{"kind":aKind,"message":aMessage}}`.
[[nodiscard]] std::string
ErrorBody(std::string_view aKind, std::string_view aMessage);

} // namespace lagoonward::standins
