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
RunReport::Note(std::string aText)
{
  this->context.journal.Record(kLog, this->terms.requestId, std::move(aText));
}

void
RunReport::Announce(const std::string& aEndpointId, const std::string& aStreamId, bool aFinished)
{
  if (this->context.directory == nullptr || this->terms.idempotencyKey.empty()) {
    return;
  }
  RequestPlace place;
  place.key = this->terms.RegistryKey();
  place.bodyHash = this->terms.bodyHash;
  place.endpointId = aEndpointId;
  place.streamId = aStreamId;
  place.revision = ++this->placeRevision;
  place.lifetime = this->context.settings.answerLifetime;
  place.finished = aFinished;
  this->context.directory->Place(place);
}

void
RunReport::SettleWhole()
{
  ++this->context.counters.answeredWhole;
  this->context.retryBudget.OnSuccess();
  if (this->terms.claim != nullptr) {
    this->terms.claim->Settle(Ran::Yes);
  }
}

void
RunReport::SettleFailed(const Error& aError)
{
  this->Note(fmt::format("fails: {}, ran {}: {}", GetErrorRule(aError.kind).name,
                         ToString(aError.ran), aError.message));
  ++this->context.counters.failed;
  if (this->terms.claim != nullptr) {
    this->terms.claim->Settle(aError.ran);
  }
  this->answer->Fail(aError);
}

void
RunReport::End()
{
  this->context.loop.Post(this->onEnded);
}

} // namespace lagoonward
