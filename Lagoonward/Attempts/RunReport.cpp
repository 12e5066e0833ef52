#include "Lagoonward/Attempts/RunReport.h"

namespace lagoonward {

namespace {

const Log kLog("attempts");

} // namespace

RunReport::RunReport(const RunContext& aContext, const CallTerms& aTerms, AnswerPtr aAnswer,
                     std::function<void()> aOnEnded)
  : context(aContext)
  , terms(aTerms)
  , answer(std::move(aAnswer))
  , onEnded(std::move(aOnEnded))
{
}

void
RunReport::RecordDecision(std::string aText)
{
  this->context.journal.Record(kLog, this->terms.requestId, std::move(aText));
}

void
RunReport::Announce(const std::string& aEndpointId, const std::string& aStreamId, bool aFinished)
{
  if (this->context.directory == nullptr || this->terms.idempotencyKey.empty()) {
    return;
  }
  RequestLocation location;
  location.key = this->terms.RegistryKey();
  location.bodyHash = this->terms.bodyHash;
  location.endpointId = aEndpointId;
  location.streamId = aStreamId;
  location.revision = ++this->locationRevision;
  location.lifetime = this->context.settings.answerLifetime;
  location.finished = aFinished;
  this->context.directory->PublishLocation(location);
}

void
RunReport::SettleSuccess()
{
  ++this->context.counters.succeeded;
  this->context.retryBudget.OnSuccess();
  if (this->terms.claim != nullptr) {
    this->terms.claim->Settle(Ran::Yes);
  }
}

void
RunReport::SettleFailure(const Error& aError)
{
  this->RecordDecision(fmt::format("failed: {}, ran {}: {}", GetErrorRule(aError.kind).name,
                                   ToString(aError.ran), aError.message));
  ++this->context.counters.failed;
  if (this->terms.claim != nullptr) {
    this->terms.claim->Settle(aError.ran);
  }
  this->answer->Fail(aError);
}

void
RunReport::NotifyEnded()
{
  this->context.loop.Post(this->onEnded);
}

} // namespace lagoonward
