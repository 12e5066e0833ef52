#pragma once

#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lagoonward {

/// Asks an endpoint to stop one run and copy the state of the run to another endpoint. Not thread-safe: used on one
/// TrafficLoop.
class RelayMove final : private HttpTransferObserver
{
public:
  using DoneCallback = std::function<void(const MoveResult& aEnd)>;

  /// The references must outlive this object.
  /// @param aOnDone  called once unless this object is destroyed first; may destroy this object
  RelayMove(TrafficLoop& aLoop, const AnyEndpointDialect& aDialect, DoneCallback aOnDone);
  ~RelayMove() override;
  RelayMove(const RelayMove&) = delete;
  RelayMove& operator=(const RelayMove&) = delete;

  /// @param aSource       `IP:PORT` of the endpoint that runs the request
  /// @param aDestination  `IP:PORT` of the endpoint that receives the state
  void Start(const RelayCall& aCall, std::string_view aSource, std::string_view aDestination,
             Milliseconds aTimeout);

  /// Whether the endpoint may have received the call, and so may stop the run. From then on an end of the stream by the
  /// end of its connection alone doesn't prove it complete.
  [[nodiscard]] bool MayHaveBeenSent() const { return *this->mayHaveBeenSent; }

  /// Replaces the callback, for an owner that takes this object over. To be called before the move has ended.
  void SetDone(DoneCallback aOnDone) { this->onDone = std::move(aOnDone); }

private:
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  TrafficLoop& loop;
  const AnyEndpointDialect& dialect;
  DoneCallback onDone;
  TransferId transfer = 0;
  std::shared_ptr<bool> mayHaveBeenSent = std::make_shared<bool>(false);
  std::string body;
};

} // namespace lagoonward
