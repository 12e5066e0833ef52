#pragma once

#include "Lagoonward/Admission/BrittleServices.h"
#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Admission/EndpointNotices.h"
#include "Lagoonward/Admission/PermitSource.h"
#include "Lagoonward/Admission/PlaceRegistry.h"
#include "Lagoonward/Admission/PoisonRequestFilter.h"
#include "Lagoonward/Admission/RetryBudget.h"
#include "Lagoonward/Attempts/RunCrashTracker.h"
#include "Lagoonward/Core/Error.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Fleet/SnapshotGuard.h"
#include "Lagoonward/Fleet/SoftwareVersionHistory.h"
#include "Lagoonward/Queueing/QueuePoolsStore.h"
#include "Lagoonward/Queueing/SlotRegistry.h"
#include "Lagoonward/Relay/ConnectionReuse.h"
#include "Lagoonward/Relay/CopyReleaser.h"
#include "Lagoonward/Relay/RelayAttempt.h"
#include "Lagoonward/Relay/RelayMove.h"
#include "Lagoonward/Relay/RelayObserver.h"
#include "Lagoonward/Relay/SendGate.h"
#include "Lagoonward/Relay/SlotSearch.h"
#include "Lagoonward/Relay/StreamOrigin.h"
#include "Lagoonward/Relay/WaitingBytes.h"
#include "Lagoonward/Routing/Router.h"
#include "Lagoonward/Wire/ResponseMemory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Destination of the response to one caller. Called on the traffic loop.
class RelayCaller
{
public:
  virtual ~RelayCaller() = default;

  /// Sends a complete response.
  virtual void SendResponse(RelayReply aReply) = 0;

  /// Responds with an error of this daemon.
  virtual void SendError(const Error& aError) = 0;

  /// Begins an event stream, appends to it, ends it, or aborts it so that the caller sees a truncated stream.
  virtual void BeginStream(const RelayReply& aHead) = 0;
  virtual void WriteEvent(std::string_view aBytes) = 0;
  virtual void EndStream() = 0;
  virtual void AbortStream() = 0;

  /// Whether the caller no longer waits for the response. True only if that is certain.
  [[nodiscard]] virtual bool IsDisconnected() = 0;

  /// Bytes of memory that the response occupies until the caller has read it.
  [[nodiscard]] virtual std::size_t HeldBytes() = 0;

  /// Drops the part of the response that the caller has not read, so that the caller sees a truncated one. From then on
  /// the caller counts as disconnected.
  virtual void Discard() = 0;
};

/// Dependencies of a run. All of them must outlive the run.
struct RelayContext
{
  TrafficLoop& loop;
  Router& router;
  RetryBudget& retryBudget;
  PoisonRequestFilter& poisonFilter;
  PoisonRequestFilter& poisonPartFilter;
  CrashProbe& crashProbe;
  EndpointLimits& endpointLimits;
  BrittleServices& brittleServices;
  EndpointNotices& notices;
  PermitSource* permitSource; ///< Never null.
  SendGate& gate;
  PlaceRegistry& places;
  PlaceSource* placeSource; ///< Never null.
  const QueuePoolsStore& queuePools;
  SlotRegistry& slots;
  SlotSource* slotSource; ///< Never null.
  WaitingBytes& waitingBytes;
  ResponseMemory& responseMemory;
  StreamOriginStore* streamOrigins; ///< Never null.
  SoftwareVersionHistory* versions; ///< Null if they are not known.
  PathMonitor& pathMonitor;
  ConnectionReuse& connectionReuse;
  CopyReleaser& copyReleaser;
  const FleetStore& fleet;
  SnapshotGuard* snapshotGuard; ///< Null if the snapshot of the endpoints has no age.
  const RelaySettings& settings;
  const AnyEndpointDialect& dialect;
  RelayObserver& observer;
};

/// Handlers of a run's owner.
struct RelayRunHandlers
{
  std::function<void()> onEnded; ///< Called once, posted to the loop, after the response has ended.
  /// Called before the request is sent to an endpoint once more although an earlier one may have run it.
  std::function<void()> onRepeat;
};

/// Executes one relayed request until its final response. The request is sent to another endpoint only if the last one
/// provably did not run it or the route allows running it again, within the attempts of the route and the retry budget.
/// Not thread-safe: used on one TrafficLoop.
class RelayRun final : private AttemptListener
{
public:
  RelayRun(const RelayContext& aContext, RelayCall aCall, std::unique_ptr<RelayCaller> aCaller,
           RelayRunHandlers aHandlers);
  ~RelayRun() override;
  RelayRun(const RelayRun&) = delete;
  RelayRun& operator=(const RelayRun&) = delete;

  /// Starts the first attempt, or refuses the request.
  void Start();

  /// Ends the run if its caller has disconnected. Must be called every RelaySettings::callerCheckInterval.
  void CheckCaller();

  /// Applies a new snapshot of the endpoints. A stream on a leaving endpoint is moved if possible. An attempt at an
  /// endpoint that has restarted is treated as failed, as it will get no response.
  void OnFleet(const FleetSnapshot& aFleet);

  /// Fails the request because the daemon shuts down before the response is complete.
  void Abandon();

  [[nodiscard]] const RelayCall& Call() const { return this->call; }
  [[nodiscard]] bool Ended() const { return this->ended; }

  /// The destination of the response, which may not be delivered yet. To be called once, after the run has ended.
  [[nodiscard]] std::unique_ptr<RelayCaller> TakeCaller() { return std::move(this->caller); }

private:
  void OnHead(const EndpointHead& aHead) override;
  void OnStreamHead(const RelayReply& aHead) override;
  void OnStreamEvent(std::string_view aBytes, std::string_view aId) override;
  void OnAttemptEnd(AttemptResult aEnd) override;

  void FindOrigin();
  void OnOriginReply(const StreamOriginReply& aReply);
  /// Continues a stream whose origin is not recorded if a current snapshot shows that only this version can have begun it.
  void ContinueAtSoleVersion(const std::string& aVersion, TimePoint aAskedAt);
  void ContinueFrom(const StreamOrigin& aOrigin, ResumptionOutcome aOutcome);
  void RefuseUnknownOrigin();
  /// Records what wrote the stream's events, from the first one on and from time to time.
  void RecordOrigin();
  /// Records that the version that wrote the stream's events can't be determined.
  void RecordUnknownOrigin();
  /// Whether no live endpoint runs the software version that the stream needs.
  [[nodiscard]] bool IsVersionGone() const;
  /// How long to wait for an endpoint since `endpointWaitSince`.
  [[nodiscard]] Milliseconds EndpointWaitLimit() const;
  /// After a failed attempt, a stream that was begun may wait for an endpoint anew; any other request may not.
  void RestartEndpointWait();

  void Dispatch();
  [[nodiscard]] RouteRequest MakeRouteRequest() const;
  /// Selects an endpoint that is not blocked, preferring those that have not failed this request.
  [[nodiscard]] Result<RouteChoice> Choose() const;
  /// Asks for a place at a brittle endpoint; then starts the attempt, or selects another endpoint.
  void RequestPlace(RouteChoice aChoice);
  /// Calls the handler on the loop with the reply to a request for a place. A place that is granted after the run has
  /// ended is given back.
  void AskForPlace(const PlaceUse& aUse, Milliseconds aWait, Milliseconds aBudget,
                   std::function<void(PlaceHold aPlace, const PlaceReply& aReply)> aOnReply);
  void OnPlaceReply(const RouteChoice& aChoice, PlaceHold aPlace, const PlaceReply& aReply,
                    Milliseconds aBudget);
  [[nodiscard]] PlaceUse MakePlaceUse(const Endpoint& aEndpoint) const;
  /// How much longer the request may wait for a place.
  [[nodiscard]] Milliseconds PlaceBudget() const;
  /// Whether the request waits in the queue of a pool of endpoints for a slot.
  [[nodiscard]] bool IsQueued() const;
  /// Asks the owner of a pool for a slot; then starts the attempt there, waits, or refuses the request.
  void RequestSlot();
  /// Sends the request for a slot, or a poll for it, to the owner of its pool.
  void AskForSlot();
  void OnSlotReply(SlotHold aSlot, const SlotReply& aReply);
  void OnSlotGranted(SlotHold aSlot, std::uint64_t aEndpoint);
  /// Asks again, or sends the request without a slot if no daemon has given out slots for a while.
  void OnNoSlotOwner();
  void RefuseForLackOfSlots();
  /// Whether the body of the request may be kept while it waits.
  [[nodiscard]] bool TryHoldWaitingBytes();
  /// The request for a slot has been answered.
  void EndSlotRequest();
  /// Leaves the queue, if the request waits in one.
  void WithdrawSlotRequest();
  [[nodiscard]] SlotMessage MakeSlotRequest(std::uint64_t aPool) const;
  /// Keys of the endpoints of the service that cannot be used now.
  [[nodiscard]] std::vector<std::uint64_t> UnusableEndpoints(bool aIncludesFailed) const;

  /// Requests a permit if the endpoint advertises a limit, and starts the attempt.
  void RequestPermitOrBegin(RouteChoice aChoice);
  /// Starts the attempt once the owners of the endpoint's permits grant one, or selects another endpoint.
  void RequestPermit(RouteChoice aChoice, const PermitRequest& aPermit);
  void OnPermitReply(const RouteChoice& aChoice, const PermitReply& aReply);
  void BeginAttempt(const RouteChoice& aChoice, const RouteRequest& aRequest);
  /// Whether an endpoint has received the request in an earlier attempt.
  [[nodiscard]] bool WasSentTo(std::string_view aEndpoint) const;
  /// Address from which the endpoint fetches the cached prefix of the prompt; empty for none.
  [[nodiscard]] static std::string PrefixSourceAddress(const RouteChoice& aChoice,
                                                       const FleetSnapshot& aFleet);
  /// Expected work of the request at the selected endpoint.
  [[nodiscard]] EngineWork EstimateWork(const RouteChoice& aChoice) const;
  /// How long the request has waited for the slot of the attempt that begins; empty without one.
  [[nodiscard]] std::optional<Milliseconds> TakeSlotWait();
  /// See RouteRequest::freshTokens.
  [[nodiscard]] int FreshTokens() const;
  [[nodiscard]] bool IsWorthMoving() const;
  void BeginMove(const Endpoint& aSource);
  void StartMove(const std::string& aSource, const RouteChoice& aDestination);
  void OnMoveFinished(const MoveResult& aEnd);
  /// Whether our call to move the stream may be the reason for this end of it, which looks like a complete one.
  [[nodiscard]] bool MayHaveBeenStopped(const AttemptResult& aEnd) const;
  /// Why a response that looks complete may be a part that the endpoint stopped, for logs; empty if it is complete.
  [[nodiscard]] std::string_view ReasonForDoubt(const AttemptResult& aEnd) const;
  /// Keeps the end of the stream until the reply to the call says whether it is the run's own.
  void AwaitMoveReply(AttemptResult aEnd);
  void OnMoveReplyOverdue();
  void CancelHeldEndTimer();
  void ReportMove(const MoveResult& aEnd);
  /// Continues the stopped run from its state: at the destination if that has a copy, else at its source.
  void ContinueFromState();
  void ContinueAtSource();
  /// @param aChoice           an endpoint that has the state
  /// @param aReachableUntil  see MakeSendCheck()
  void ContinueAt(const RouteChoice& aChoice, TimePoint aReachableUntil);
  void FailWithoutState();
  /// Leaves the call to move the stream, whose reply changes nothing any more: a copy that it makes is released.
  void AbandonMove();
  /// Continues at the source if the attempt from a copy provably did not run.
  /// @return whether it does
  [[nodiscard]] bool TryContinueAtSource(const AttemptResult& aEnd);
  /// Ends what an attempt holds: the router's record, the place and the slot.
  void EndAttemptRecords(const AttemptResult& aEnd);
  /// Until when an endpoint may be reached that was live in the snapshot as of that time, whatever it has announced since.
  [[nodiscard]] TimePoint ReachableUntil(const std::optional<TimePoint>& aLiveAsOf) const;
  /// Records that the endpoint of the attempt, and the destination of a move, are not known to be leaving.
  void RecordLive();
  /// Says, right before the first byte, whether the attempt that begins may be sent.
  /// @param aReachableUntil  for an endpoint that has the state of the run, as no other can continue it; else empty
  [[nodiscard]] std::function<bool()> MakeSendCheck(
    const std::optional<TimePoint>& aReachableUntil) const;
  /// Ends the request, or tries again, after an attempt whose end is known to be the run's own or not.
  void HandleAttemptEnd(AttemptResult aEnd);
  /// Whether the response may have been cut off by the end of its endpoint's process, be it planned or a crash: the system
  /// closes its connections in an orderly way, and nothing but the end of the connection marks the end of the body.
  [[nodiscard]] static bool MayHaveTerminated(const AttemptResult& aEnd);
  /// Keeps the end of the attempt until it is known whether its endpoint still runs.
  void CheckTerminated(AttemptResult aEnd);
  void OnTerminationKnown(bool aIsDead);
  void FinishAttempt(AttemptResult aEnd);
  void WaitForEndpoint(const Error& aError);
  /// Retries after a failed attempt. After a lost connection it first waits for the check whether the endpoint has
  /// crashed.
  void ContinueAfterFailure(AttemptCause aCause);
  /// Retries or ends the request after an attempt without a complete success response.
  void OnAttemptFailed(AttemptResult aEnd);
  /// Keeps the failure response of the endpoint for the caller, in case no other attempt is made or gets a response.
  void KeepFailureReply(RelayReply aReply);
  [[nodiscard]] bool CanRunAgain() const;
  void ArmSilenceTimer(bool aStreamStarted);
  void OnSilenceTimeout();
  void CancelAttempt(DispatchOutcome aOutcome);
  /// The endpoint of the attempt has restarted, perhaps before the request was sent to it.
  void OnLaterIncarnation(const Endpoint& aEndpoint);
  void OnEndpointRestarted();
  void OnDeadline();
  /// Accounts for the events of the stream that the caller has not read yet.
  void UpdateStreamMemory();
  void RecordFirstByte();
  void RecordStarted();

  void Succeed(RelayReply aReply);
  void Fail(const Error& aError);
  void End(const RelayResult& aEnd);

  /// The state of a run that its source has stopped, until an attempt has used it.
  struct StoppedState
  {
    std::string sourceAddress; ///< `IP:PORT`.
    std::string handle;
    RouteChoice source;
    TimePoint sourceReachableUntil; ///< See MakeSendCheck().
    bool isAtDestination = false;   ///< There is a copy, which no attempt has tried to use.
  };

  /// How an attempt continues a stopped run.
  struct Continuation
  {
    std::string stateHandle;  ///< `IP:PORT/HANDLE`.
    TimePoint reachableUntil; ///< See MakeSendCheck().
  };

  RelayContext context;
  RelayCall call;
  std::unique_ptr<RelayCaller> caller;
  RelayRunHandlers handlers;
  std::vector<std::uint64_t> promptBlocks; ///< Block hashes of the prompt; see PromptBlocks().
  RunCrashTracker crashTracker;

  std::unique_ptr<RelayAttempt> attempt; ///< Null between attempts.
  std::string endpointId;
  std::uint64_t endpointKey = 0; ///< See EndpointKeyOf().
  /// Start time that identifies its process; see Endpoint::incarnation.
  std::int64_t endpointIncarnation = 0;
  std::string endpointVersion;   ///< See Endpoint::softwareVersion.
  lagoonward::Dispatch dispatch; ///< The router's record of the attempt.
  PlaceHold place;               ///< Of the attempt, or granted for the next one.
  int placeRequests = 0;         ///< Since the last attempt.
  int placeRefusals = 0;         ///< Of these, replies that the request would wait for too long.
  SlotHold slot;                 ///< Of the attempt, if its service is queued.
  std::optional<SlotMessage> slotRequest;         ///< While the request waits for a slot.
  std::optional<WaitingBytes::Hold> waitingBytes; ///< Of the request's body while it may wait.
  bool lacksMemoryToWait = false;                 ///< It may not, as the bodies of others take all.
  std::optional<TimePoint> slotWaitSince;         ///< First request for a slot of the next attempt.
  SlotSearch slotSearch;
  /// Keys of endpoints at which a slot was granted, but which this daemon does not know yet.
  std::vector<std::uint64_t> unknownEndpoints;
  std::optional<TimePoint> noSlotOwnerSince; ///< First request for a slot since an owner replied.
  bool bypassesQueue = false;                ///< The next attempt is sent without a slot.
  std::vector<std::string> fullEndpoints;    ///< Endpoints that had no place for this request.
  std::vector<std::string> failedEndpoints;  ///< Endpoints that failed this request.
  std::string lastReason;                    ///< Why the last attempt failed; for logs.
  ResponseTrace lastResponse;                ///< Of the last attempt, once it has ended.
  std::optional<RelayReply> failureReply;    ///< Failure response of an endpoint, if one arrived.
  std::optional<ResponseMemory::Account> failureMemory; ///< Of `failureReply`.
  std::optional<ResponseMemory::Account> streamMemory; ///< Events that the caller has not read yet.
  bool isDiscarded = false;                            ///< The stream was evicted from memory.
  int sends = 0;               ///< Attempts that may have reached an endpoint.
  bool demandReported = false; ///< The work of the request has been reported to the observer.
  bool mayHaveRun = false;
  bool started = false;   ///< An endpoint has responded, so the request ran.
  bool streaming = false; ///< The stream head has been sent to the caller.
  std::string lastEventId;
  int forwardedEvents = 0;       ///< Stream events sent to the caller.
  bool attemptHasEvents = false; ///< Some of them came from the current attempt.
  /// What wrote the events that the caller has; empty until the first one.
  std::optional<StreamOrigin> origin;
  std::optional<TimePoint> originRecordedAt; ///< By this run.
  TimePoint endpointWaitSince; ///< Since when the request may have waited for an endpoint.
  bool ended = false;

  std::unique_ptr<RelayMove> move;              ///< Null while no move is in progress.
  std::optional<RouteChoice> moveDestination;   ///< Destination of the move.
  PlaceHold movePlace;                          ///< At the destination, if it is brittle.
  std::string lastMoveSource;                   ///< Last endpoint from which a move was tried.
  MoveKnowledge lastMove = MoveKnowledge::None; ///< Of the call to move it from there.
  /// What the reply to that call has proved of the run of the current attempt.
  StopState stopState = StopState::NotStopped;
  std::string moveSourceAddress; ///< `IP:PORT`; the endpoint may leave the list during the move.
  bool awaitsLastEvents = false; ///< Of the stopped run, which may be on their way.
  std::optional<StoppedState> stoppedState;
  std::optional<Continuation> continuation; ///< Of the next attempt.
  std::optional<RouteChoice> attemptChoice; ///< Endpoint of the last attempt.
  std::string attemptAddress;               ///< `IP:PORT` of it.
  std::optional<TimePoint>
    sourceLiveAsOf; ///< See RecordLive(): of the attempt's endpoint; BootNow().
  std::optional<TimePoint> destinationLiveAsOf;
  /// Result of the last attempt while something else has to show whether its response is complete.
  std::optional<AttemptResult> heldEnd;
  std::optional<TrafficLoop::TimerId>
    heldEndTimer; ///< While that result waits, or the last events are awaited.
  /// Expires with the run; guards callbacks that may arrive later.
  std::shared_ptr<bool> aliveToken = std::make_shared<bool>(true);
  std::optional<TrafficLoop::TimerId> deadlineTimer;
  std::optional<TrafficLoop::TimerId> endpointWaitTimer;
  std::optional<TrafficLoop::TimerId> silenceTimer;
};

} // namespace lagoonward
