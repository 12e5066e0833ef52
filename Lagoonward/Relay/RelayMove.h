#pragma once

#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Asks an endpoint to stop one run and copy its memory to another endpoint. Lives on one TrafficLoop.
class RelayMove final : private HttpTransferObserver
{
public:
  using Done = std::function<void(const MoveEnd& aEnd)>;

  /// References must outlive it.
  /// @param aDone  called once, unless the move is destroyed before; may destroy it
  RelayMove(TrafficLoop& aLoop, const EndpointLanguage& aLanguage, Done aDone);
  ~RelayMove() override;
  RelayMove(const RelayMove&) = delete;
  RelayMove& operator=(const RelayMove&) = delete;

  /// @param aSource       `IP:PORT` of the endpoint that runs the request
  /// @param aDestination  the same of the one to go to
  void Start(const RelayCall& aCall, std::string_view aSource, std::string_view aDestination,
             Milliseconds aTimeout);

private:
  void OnBytes(int aStatus, std::string_view aBytes) override;
  void OnEnd(const TransferEnd& aEnd) override;

  TrafficLoop& loop;
  const EndpointLanguage& language;
  Done done;
  TransferId transfer = 0;
  std::string body;
};

} // namespace lagoonward
