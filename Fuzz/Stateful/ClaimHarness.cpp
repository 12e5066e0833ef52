#include "Fuzz/Stateful/ClaimHarness.h"

namespace lagoonward::fuzz {

namespace {

using Fault = testing::FakeLogService::Fault;

constexpr std::array kFaults{ Fault::Refused, Fault::AnswerLost, Fault::Late };

} // namespace

ClaimHarness::ClaimHarness()
{
  for (int actor = 0; actor < kActors; ++actor) {
    this->Restart(actor);
  }
}

void
ClaimHarness::Restart(int aActor)
{
  Daemon& daemon = this->daemons[aActor];
  daemon.run = "run-" + std::to_string(this->runs++);
  daemon.sequence = 0;
  daemon.submissions.clear();
  daemon.batcher = std::make_unique<ClaimBatcher>(this->stream, daemon.run, this->settings,
                                                  this->log, this->clock);
}

void
ClaimHarness::Submit(Daemon& aDaemon, int aKey)
{
  const Claim claim{ MakeClaimKey("utslipp", "county", std::to_string(aKey)),
                     1,
                     { aDaemon.run, aDaemon.sequence++ } };
  auto submission = std::make_shared<Submission>();
  submission->key = aKey;
  submission->ticket =
    std::make_shared<ClaimTicket>(claim, this->clock.BootNow() + this->settings.dispatchWindow);
  aDaemon.submissions.push_back(submission);
  const auto onAnswer = [submission](const ClaimAnswer& aAnswer) {
    ++submission->answers;
    RC_ASSERT(submission->answers == 1);
    if (aAnswer.verdict == ClaimAnswer::Verdict::Won) {
      submission->won = submission->ticket->MarkWon();
    } else {
      submission->refused = submission->ticket->Close();
    }
  };
  aDaemon.batcher->Submit(claim, this->clock.BootNow() + this->settings.claimTimeout, onAnswer);
}

/// Dispatches the oldest submission that has won its claim and was not dispatched.
void
ClaimHarness::Dispatch(Daemon& aDaemon)
{
  for (const auto& submission : aDaemon.submissions) {
    if (!submission->won || submission->ran || !submission->ticket->BeginDispatch(this->clock)) {
      continue;
    }
    submission->ran = true;
    RC_ASSERT(!submission->refused);
    RC_ASSERT(++this->dispatches[submission->key] == 1);
    aDaemon.batcher->SubmitOutcome(
      { submission->ticket->GetClaim().key, submission->ticket->GetClaim().id, Ran::Yes });
    return;
  }
}

/// Refuses the oldest open submission as not run and frees its key, as for a caller that disconnected or whose
/// deadline passed.
void
ClaimHarness::CancelOldest(Daemon& aDaemon)
{
  for (const auto& submission : aDaemon.submissions) {
    if (submission->refused || !submission->ticket->Close()) {
      continue;
    }
    submission->refused = true;
    RC_ASSERT(!submission->ran);
    aDaemon.batcher->SubmitOutcome(
      { submission->ticket->GetClaim().key, submission->ticket->GetClaim().id, Ran::No });
    return;
  }
}

void
ClaimHarness::Run(const Operation& aOperation)
{
  Daemon& daemon = this->daemons[aOperation.actor];
  switch (aOperation.kind) {
    case 0:
      this->Submit(daemon, aOperation.argument % kKeys);
      break;
    case 1:
      static_cast<void>(daemon.batcher->Step());
      break;
    case 2:
      this->log.FailAppends({ kFaults[aOperation.argument % kFaults.size()] });
      static_cast<void>(daemon.batcher->Step());
      this->log.FailAppends({});
      break;
    case 3:
      this->log.StoreLateAppends();
      break;
    case 4:
      this->clock.Advance(Milliseconds(25 * aOperation.argument));
      break;
    case 5:
      this->clock.Suspend(Milliseconds(200 * aOperation.argument));
      break;
    case 6:
      this->Restart(aOperation.actor);
      break;
    case 7:
      this->down = !this->down;
      this->log.SetDown(this->down);
      break;
    case 8:
      this->Dispatch(daemon);
      break;
    case 9:
      this->CancelOldest(daemon);
      break;
    default:
      this->unreadable = !this->unreadable;
      this->log.SetUnreadable(this->unreadable);
      break;
  }
}

void
ClaimHarness::Finish()
{
  // Once the log is available again, every claim must be answered; submissions that won may still be dispatched
  this->log.SetDown(false);
  this->log.SetUnreadable(false);
  this->log.StoreLateAppends();
  constexpr int kRounds = 40;
  for (int round = 0; round < kRounds; ++round) {
    this->clock.Advance(this->settings.flushInterval);
    for (Daemon& daemon : this->daemons) {
      static_cast<void>(daemon.batcher->Step());
      this->Dispatch(daemon);
    }
  }
  for (const Daemon& daemon : this->daemons) {
    for (const auto& submission : daemon.submissions) {
      RC_ASSERT(submission->answers == 1);
    }
  }
}

} // namespace lagoonward::fuzz
