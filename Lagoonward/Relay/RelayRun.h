#pragma once

#include "Lagoonward/Admission/EndpointLimits.h"
#include "Lagoonward/Admission/PermitLender.h"
#include "Lagoonward/Admission/PoisonGuard.h"
#include "Lagoonward/Admission/RetryBudget.h"
#include "Lagoonward/Attempts/CrashWitness.h"
#include "Lagoonward/Core/Error.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Relay/RelayAttempt.h"
#include "Lagoonward/Relay/RelayMove.h"
#include "Lagoonward/Relay/RelayObserver.h"
#include "Lagoonward/Routing/Router.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// What the caller gets in the end. Called on the traffic loop.
class RelayCaller
{
public:
  virtual ~RelayCaller() = default;

  /// Answers in one piece.
  virtual void Answer(RelayReply aReply) = 0;

  /// Answers with an error of this daemon.
  virtual void Refuse(const Error& aError) = 0;

  /// Begins a stream of events, adds to it, ends it properly, or breaks it off so that it looks cut.
  virtual void BeginStream(const RelayReply& aHead) = 0;
  virtual void WriteEvent(std::string_view aBytes) = 0;
  virtual void EndStream() = 0;
  virtual void AbortStream() = 0;

  /// Whether nobody waits for the answer any more. True only when sure.
  [[nodiscard]] virtual bool IsGone() = 0;
};

/// What a run works with. Everything outlives the run.
struct RelayContext
{
  TrafficLoop& loop;
  Router& router;
  RetryBudget& retryBudget;
  PoisonGuard& poison;
  CrashCheck& crashes;
  EndpointLimits& limits;
  PermitLender* permits; ///< Never null.
  const FleetStore& fleet;
  const RelaySettings& settings;
  const EndpointLanguage& language;
  RelayObserver& observer;
};

/// Carries one relayed request to its final answer. It is sent to another endpoint only if the last one
/// provably did not run it or the route allows to run it again, within the route's attempts and the
/// retry budget. Lives on one TrafficLoop.
class RelayRun final : private AttemptListener
{
public:
  /// @param aOnEnded  called once, posted to the loop, after the answer has ended
  RelayRun(const RelayContext& aContext, RelayCall aCall, std::unique_ptr<RelayCaller> aCaller,
           std::function<void()> aOnEnded);
  ~RelayRun() override;
  RelayRun(const RelayRun&) = delete;
  RelayRun& operator=(const RelayRun&) = delete;

  /// Begins the first attempt, or refuses.
  void Start();

  /// Ends the run if its caller has gone. To be called every RelaySettings::callerCheck.
  void CheckCaller();

  /// Takes a new picture of the endpoints: a stream on one that leaves goes on elsewhere; what was sent to one that has
  /// started anew since will not be answered.
  void OnFleet(const FleetSnapshot& aFleet);

  /// Gives up on an answer that cannot come in time before the daemon ends.
  void Abandon();

  [[nodiscard]] const RelayCall& Call() const { return this->call; }
  [[nodiscard]] bool Ended() const { return this->ended; }

private:
  void OnHead(const EndpointHead& aHead) override;
  void OnStreamHead(const RelayReply& aHead) override;
  void OnStreamEvent(std::string_view aBytes, std::string_view aId) override;
  void OnAttemptEnd(const AttemptEnd& aEnd) override;

  void Dispatch();
  [[nodiscard]] RouteRequest MakeRouteRequest() const;
  /// Endpoints of its service that must get nothing from here for now.
  [[nodiscard]] std::vector<std::string> BlockedEndpoints() const;
  /// Chooses an endpoint that may get something now, best one that has not failed this request.
  [[nodiscard]] Result<RouteChoice> Choose() const;
  /// Begins the attempt once the endpoint's keepers permit it, or looks for another endpoint.
  void BeginPermitted(RouteChoice aChoice, const PermitRequest& aPermit);
  void OnPermit(const RouteChoice& aChoice, const PermitReply& aReply);
  void BeginAttempt(const RouteChoice& aChoice, const RouteRequest& aRequest);
  /// Where the endpoint is to fetch the kept beginning of the prompt; empty for nowhere.
  [[nodiscard]] static std::string AddressOfHolder(const RouteChoice& aChoice,
                                                   const FleetSnapshot& aFleet);
  /// What the request asks of its endpoint.
  [[nodiscard]] EngineWork WorkOf(const RouteChoice& aChoice) const;
  /// See RouteRequest::freshTokens.
  [[nodiscard]] int FreshTokens() const;
  [[nodiscard]] bool IsWorthMoving() const;
  void BeginMove(const Endpoint& aSource);
  void OnMoveEnd(const MoveEnd& aEnd);
  void WaitForPlace(const Error& aError);
  /// Goes on after a failed attempt, once it is known whether it has crashed its endpoint.
  void GoOnAfter(AttemptCause aCause);
  /// Decides after an attempt without a whole success.
  void OnAttemptFailed(const AttemptEnd& aEnd);
  [[nodiscard]] bool MayRunAgain() const;
  void ArmSilence(bool aHasBegun);
  void OnSilence();
  void DropAttempt(DispatchOutcome aOutcome);
  void OnEndpointRestarted();
  void OnDue();
  void NoteFirstByte();
  void NoteBegan();

  void Succeed(RelayReply aReply);
  void Fail(const Error& aError);
  void End(const RelayEnd& aEnd);

  RelayContext context;
  RelayCall call;
  std::unique_ptr<RelayCaller> caller;
  std::function<void()> onEnded;
  std::vector<std::uint64_t> blocks; ///< Of the prompt; see PromptBlocks().
  CrashWitness witness;

  std::unique_ptr<RelayAttempt> attempt; ///< Null between two attempts.
  std::string endpointId;
  std::int64_t endpointBorn = 0;     ///< Its life; see Endpoint::born.
  lagoonward::Dispatch dispatch;     ///< The router's record of the attempt.
  std::vector<std::string> excluded; ///< Endpoints that failed this request.
  std::string lastReason;            ///< Why the last attempt failed; for logs.
  std::optional<RelayReply> failure; ///< An endpoint's own failure answer, if one came.
  int sends = 0;                     ///< Attempts that may have reached an endpoint.
  bool demandTold = false;           ///< The observer knows what it takes.
  bool mayHaveRun = false;
  bool began = false;     ///< An endpoint has answered, so it ran.
  bool streaming = false; ///< The caller has the head of the stream.
  std::string lastEventId;
  int events = 0; ///< Of its stream, passed on.
  bool ended = false;

  std::unique_ptr<RelayMove> move;           ///< Null while none is under way.
  std::optional<RouteChoice> moveChoice;     ///< Where it goes.
  std::string movedFrom;                     ///< The last endpoint that a move was tried from.
  std::string copy;                          ///< Memory that the next attempt goes on from.
  std::optional<AttemptEnd> endedWhileMoved; ///< How the attempt at the source ended.
  std::shared_ptr<bool> life =
    std::make_shared<bool>(true); ///< Gone with the run, for what may come after its end.
  std::optional<TrafficLoop::TimerId> dueTimer;
  std::optional<TrafficLoop::TimerId> placeTimer;
  std::optional<TrafficLoop::TimerId> silenceTimer;
};

} // namespace lagoonward
