#pragma once

#include "Lagoonward/Attempts/KvTransfer.h"
#include "Lagoonward/Attempts/RunReport.h"
#include "Lagoonward/Reclaim/MoveTypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lagoonward {

/// Executes the MovePlanner's plan for one stream on a leaving endpoint: waits until the planned start, copies the KV
/// cache if the plan says so, then asks the run to move. Plans may be applied repeatedly; a plan equal to the move in
/// progress has no effect. Used on the run's TrafficLoop only.
class PlannedMove
{
public:
  /// @param aOnMove  called when the move is due; the run leaves the endpoint and calls ExtractTarget()
  PlannedMove(const RunContext& aContext, RunReport& aReport,
              std::function<void(std::string_view aReason)> aOnMove);
  ~PlannedMove();
  PlannedMove(const PlannedMove&) = delete;
  PlannedMove& operator=(const PlannedMove&) = delete;

  /// Applies a plan to a stream.
  /// @param aEndpointId  where the stream runs
  /// @param aStreamId    the engine's id of the stream; may be empty
  void Apply(const MovePlan& aPlan, const std::string& aEndpointId, const std::string& aStreamId);

  /// Discards the plan and cancels a copy in progress.
  void Cancel();

  /// Called when the stream leaves its endpoint. Allows copies of the KV cache again.
  void OnEndpointLeft() { this->exportFailed = false; }

  /// Returns the planned target endpoint and discards the plan. Empty if there is no plan or it names no target.
  [[nodiscard]] std::string ExtractTarget();

  /// The move that is planned or in progress, if any.
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
  std::string streamId;                 ///< The engine's id of the stream.
  std::unique_ptr<KvTransfer> transfer; ///< The export and import in progress.
  std::optional<TrafficLoop::TimerId> timer;
  bool exportFailed = false;
};

} // namespace lagoonward
