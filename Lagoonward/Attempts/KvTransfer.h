#pragma once

#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <string>

namespace lagoonward {

/// Copies a running stream's KV cache from one engine to another: export at the source, while the stream continues,
/// then import at the target. The destructor cancels the transfer. Used on one TrafficLoop only.
class KvTransfer final : private HttpTransferObserver
{
public:
  /// Source and target of the copy.
  struct Route
  {
    std::string sourceAddress; ///< `IP:PORT` of the engine that runs the stream.
    std::string targetAddress; ///< `IP:PORT` of the engine that imports the cache.
    std::string streamId;      ///< The source engine's id of the stream.
    Milliseconds timeout{ 0 }; ///< For each of the two steps.
  };

  /// @param aOnDone  called once, on the loop, with whether the target imported the cache; may destroy this object
  KvTransfer(TrafficLoop& aLoop, Route aRoute, std::function<void(bool aSucceeded)> aOnDone);
  ~KvTransfer() override;
  KvTransfer(const KvTransfer&) = delete;
  KvTransfer& operator=(const KvTransfer&) = delete;

  void Start();

private:
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;
  void Import();

  TrafficLoop& loop;
  Route route;
  std::function<void(bool)> onDone;
  TransferId transfer = 0; ///< Zero if none is running.
  bool importing = false;
  std::string body; ///< Response body of the current step.
};

} // namespace lagoonward
