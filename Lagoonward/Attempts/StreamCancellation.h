#pragma once

#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <string>

namespace lagoonward {

/// Cancels a stream at its engine and waits for the engine's confirmation, so that a non-idempotent request can
/// continue at another endpoint without running twice. The destructor cancels the transfer. Used on one TrafficLoop
/// only.
class StreamCancellation final : private HttpTransferObserver
{
public:
  /// @param aUrl     URL of the stream at its engine
  /// @param aOnDone  called once, on the loop, with whether the engine confirmed the end of the stream; may destroy
  ///                 this object
  StreamCancellation(TrafficLoop& aLoop, std::string aUrl, Milliseconds aTimeout,
                     std::function<void(bool aStopped)> aOnDone);
  ~StreamCancellation() override;
  StreamCancellation(const StreamCancellation&) = delete;
  StreamCancellation& operator=(const StreamCancellation&) = delete;

  void Start();

private:
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  TrafficLoop& loop;
  std::string url;
  Milliseconds timeout;
  std::function<void(bool)> onDone;
  TransferId transfer = 0; ///< Zero if none is running.
};

} // namespace lagoonward
