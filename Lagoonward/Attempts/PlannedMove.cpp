#include "Lagoonward/Attempts/PlannedMove.h"

#include <algorithm>

namespace lagoonward {

PlannedMove::PlannedMove(const RunContext& aContext, RunReport& aReport,
                         std::function<void(std::string_view aReason)> aOnMove)
  : context(aContext)
  , report(aReport)
  , onMove(std::move(aOnMove))
{
}

PlannedMove::~PlannedMove()
{
  this->Cancel();
}

void
PlannedMove::Apply(const MovePlan& aPlan, const std::string& aEndpointId,
                   const std::string& aStreamId)
{
  const bool isMove = aPlan.kind == MoveKind::ExportImport || aPlan.kind == MoveKind::Reprefill;
  const bool isSame =
    this->move && isMove && this->move->kind == aPlan.kind && this->move->target == aPlan.target;
  // An export in progress continues; a move that has not started may get a new start time
  if (isSame && (this->transfer != nullptr || this->move->startAt == aPlan.startAt)) {
    return;
  }
  if (!isSame) {
    this->report.RecordDecision(fmt::format(
      "move planned: {}{}{}, {:.0f} tokens recomputed.", ToString(aPlan.kind),
      aPlan.target.empty() ? "" : " to endpoint ", aPlan.target, aPlan.recomputedTokens));
  }
  this->Cancel();
  if (!isMove) {
    return;
  }
  this->endpointId = aEndpointId;
  this->streamId = aStreamId;
  this->move = MoveInProgress{ aPlan.kind, aPlan.target, aPlan.startAt, aPlan.readyAt };
  const TimePoint now = this->context.loop.GetClock().Now();
  const auto delay = std::chrono::ceil<Milliseconds>(aPlan.startAt - now);
  this->timer =
    this->context.loop.RunAfter(std::max(delay, Milliseconds(0)), [this] { this->Begin(); });
}

void
PlannedMove::Cancel()
{
  if (this->timer) {
    this->context.loop.CancelTimer(*this->timer);
    this->timer.reset();
  }
  this->transfer.reset();
  this->move.reset();
}

std::string
PlannedMove::ExtractTarget()
{
  std::string target = this->move ? this->move->target : std::string();
  this->Cancel();
  return target;
}

void
PlannedMove::Begin()
{
  this->timer.reset();
  if (!this->move) {
    return;
  }
  if (this->move->kind == MoveKind::ExportImport) {
    this->BeginExport();
  } else {
    this->onMove("its endpoint is leaving");
  }
}

void
PlannedMove::BeginExport()
{
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const Endpoint* source = fleet->Find(this->endpointId);
  const Endpoint* target = fleet->Find(this->move->target);
  if (source == nullptr || target == nullptr || this->streamId.empty()) {
    this->Cancel();
    return;
  }
  KvTransfer::Route route;
  route.sourceAddress = fmt::format("{}:{}", source->address, source->port);
  route.targetAddress = fmt::format("{}:{}", target->address, target->port);
  route.streamId = this->streamId;
  route.timeout = this->context.settings.kvTransferTimeout;
  this->transfer =
    std::make_unique<KvTransfer>(this->context.loop, std::move(route), [this](bool aSucceeded) {
      if (aSucceeded) {
        this->onMove("its KV cache was copied");
        return;
      }
      // The next plan selects another kind of move
      this->report.RecordDecision("copy of its KV cache failed; waiting for another plan.");
      this->exportFailed = true;
      this->Cancel();
    });
  this->transfer->Start();
}

} // namespace lagoonward
