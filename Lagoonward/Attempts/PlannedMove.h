#pragma once

#include "Lagoonward/Attempts/KvTransfer.h"
#include "Lagoonward/Attempts/RunReport.h"
#include "Lagoonward/Reclaim/MoveTypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lagoonward {

/// A stream's way off a leaving endpoint, as the MovePlanner planned it: waits for the planned moment,
/// copies the KV cache if that is the way, then asks its run to move. Plans may come again and
/// again; one that says what is under way changes nothing. Lives on the run's TrafficLoop.
class PlannedMove
{
public:
  /// @param aOnMove  the moment has come: leave the endpoint, then TakeTarget()
  PlannedMove(const RunContext& aContext, RunReport& aReport,
              std::function<void(std::string_view aReason)> aOnMove);
  ~PlannedMove();
  PlannedMove(const PlannedMove&) = delete;
  PlannedMove& operator=(const PlannedMove&) = delete;

  /// Takes a plan for a stream that runs at an endpoint.
  void Follow(const MovePlan& aPlan, const std::string& aEndpointId, const std::string& aStreamId);

  /// Forgets the plan; ends a copy under way.
  void Drop();

  /// The stream has a new endpoint, so that copies may be tried again.
  void OnNewEndpoint() { this->exportFailed = false; }

  /// The endpoint that the move was planned to, which ends the plan; empty without one.
  [[nodiscard]] std::string TakeTarget();

  /// The move that has been planned or begun, if any.
  [[nodiscard]] const std::optional<MoveInProgress>& Get() const { return this->move; }

  /// Whether a copy of the KV cache has failed at this endpoint.
  [[nodiscard]] bool HasExportFailed() const { return this->exportFailed; }

private:
  void Begin();
  void BeginExport();

  RunContext context;
  RunReport& report;
  std::function<void(std::string_view)> onMove;
  std::optional<MoveInProgress> move;
  std::string endpointId;               ///< Where the stream runs.
  std::string streamId;                 ///< The engine's name of it.
  std::unique_ptr<KvTransfer> transfer; ///< The export and import under way.
  std::optional<TrafficLoop::TimerId> timer;
  bool exportFailed = false;
};

} // namespace lagoonward
