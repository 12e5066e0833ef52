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

/// One injected fault, as posted to `/faults`:
/// `{"fault":…, "count":…, "ms":…, "path":…, "after":…, "mode":…}`.
struct Fault
{
  std::string kind;
  std::int64_t count = 1;                  ///< Remaining requests that it applies to.
  std::chrono::milliseconds duration{ 0 }; ///< `ms`: length of the delay or of the outage.
  std::string path;                        ///< Applies only to paths with this prefix.
  std::int64_t after = 0; ///< Tokens that an affected stream sends before the fault.
  std::string mode;       ///< Variant of the fault.
  std::chrono::steady_clock::time_point requestedAt;
};

/// Fault injection of one stand-in: holds the active faults and implements those that all stand-ins
/// share. Faults are added at run time through `POST /faults`, listed by `GET /faults` and removed by
/// `DELETE /faults`. Thread-safe.
///
/// Shared faults: `slow`, `hang`, `lost_answer`, `outage`, `silent`. A stand-in passes the additional
/// kinds that it implements itself to the constructor.
class Faults
{
public:
  using Exchange = std::shared_ptr<HttpExchange>;
  using Handler = std::function<void(const Exchange&)>;

  /// @param aOwnKinds  faults that the stand-in implements itself, through TryConsume() or OnImmediate()
  Faults(Scheduler& aScheduler, std::vector<std::string> aOwnKinds);

  /// Sets the server whose connections the `silent` fault applies to.
  void AttachServer(HttpServer* aServer);

  /// Handles `/faults` itself, applies the shared faults, and passes the request on to aHandler
  /// unless a fault suppresses it.
  void Filter(const Exchange& aExchange, const Handler& aHandler);

  /// Returns the oldest fault of this kind that matches the path and decrements its count; nullopt if
  /// there is none.
  [[nodiscard]] std::optional<Fault> TryConsume(std::string_view aKind, std::string_view aPath);

  /// Registers an action for one of the stand-in's own kinds. It runs as soon as such a fault is posted;
  /// the fault is not stored. Not thread-safe: call it during construction.
  void OnImmediate(std::string aKind, std::function<void(const Fault&)> aAction);

private:
  void HandleControl(const Exchange& aExchange);
  void Add(const Exchange& aExchange);
  void Apply(const Fault& aFault, const Exchange& aExchange);
  [[nodiscard]] bool IsKnown(const std::string& aKind) const;
  [[nodiscard]] bool TryApplyOutage(const Exchange& aExchange);

  Scheduler& scheduler;
  std::vector<std::string> ownKinds;
  std::mutex mutex;
  HttpServer* server = nullptr;
  std::vector<Fault> faults;
  std::vector<std::pair<std::string, std::function<void(const Fault&)>>> immediateActions;
};

/// `{"error":{"kind":aKind,"message":aMessage}}`.
[[nodiscard]] std::string
ErrorBody(std::string_view aKind, std::string_view aMessage);

} // namespace lagoonward::standins
