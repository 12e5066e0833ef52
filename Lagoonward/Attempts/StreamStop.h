#pragma once

#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <string>

namespace lagoonward {

/// Ends a stream at its engine and waits for the engine's word, so that a non-idempotent request can go
/// on elsewhere without running twice. Destroying it cancels. Lives on one TrafficLoop.
class StreamStop final : private HttpTransferObserver
{
public:
  /// @param aUrl     of the stream at its engine
  /// @param aOnDone  called once, on the loop, with whether the engine has said that the stream is
  ///                 over; the object may be destroyed in it
  StreamStop(TrafficLoop& aLoop, std::string aUrl, Milliseconds aTimeout,
             std::function<void(bool aStopped)> aOnDone);
  ~StreamStop() override;
  StreamStop(const StreamStop&) = delete;
  StreamStop& operator=(const StreamStop&) = delete;

  void Start();

private:
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  TrafficLoop& loop;
  std::string url;
  Milliseconds timeout;
  std::function<void(bool)> onDone;
  TransferId transfer = 0; ///< Zero when none is running.
};

} // namespace lagoonward
