#pragma once

#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <string>

namespace lagoonward {

/// Copies a running stream's KV cache from one engine to another: export at the source, while the
/// stream goes on, then import at the target. Destroying it cancels. Lives on one TrafficLoop.
class KvTransfer final : private HttpTransferObserver
{
public:
  /// Where from, where to.
  struct Route
  {
    std::string sourceAddress; ///< `IP:PORT` of the engine that has the stream.
    std::string targetAddress; ///< `IP:PORT` of the engine that is to have it.
    std::string streamId;      ///< The source's name of the stream.
    Milliseconds timeout{ 0 }; ///< For each of the two steps.
  };

  /// @param aDone  called once, on the loop, with whether the target has the cache; the transfer may
  ///               be destroyed in it
  KvTransfer(TrafficLoop& aLoop, Route aRoute, std::function<void(bool aMoved)> aDone);
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
  std::function<void(bool)> done;
  TransferId transfer = 0; ///< Zero when none is running.
  bool importing = false;
  std::string body; ///< Of the current step's answer.
};

} // namespace lagoonward
