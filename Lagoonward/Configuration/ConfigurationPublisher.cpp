#include "Lagoonward/Configuration/ConfigurationPublisher.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <thread>

namespace lagoonward {

using Kind = ConfigurationEvent::Kind;
using Verdict = PublishOutcome::Verdict;

ConfigurationPublisher::StreamState::StreamState(std::string aMarket)
  : history(std::move(aMarket))
{
}

ConfigurationPublisher::ConfigurationPublisher(LogService& aLog, const Clock& aClock,
                                               PublisherSettings aSettings,
                                               std::string aIncarnation)
  : log(aLog)
  , clock(aClock)
  , settings(aSettings)
  , ownId{ std::move(aIncarnation), 0 }
  , backoff(aSettings.backoff, HashBytes(this->ownId.incarnation))
{
}

Result<PublishOutcome>
ConfigurationPublisher::Publish(const Manifest& aManifest, std::optional<Offset> aBase)
{
  this->deadline = this->clock.Now() + this->settings.timeout;
  ++this->ownId.sequence;
  const std::string stream = ConfigurationStream(aManifest.market);
  StreamState state(aManifest.market);

  // Determine the configuration in force
  if (auto caughtUp = this->CatchUpWithRetries(state, stream); !caughtUp) {
    return caughtUp.error();
  }
  if (!aBase && !state.history.IsCertain()) {
    return Error(
      ErrorKind::NoConfiguration,
      "the retained records do not determine the configuration in force; specify the base");
  }
  ConfigurationRecord record;
  record.base = aBase.value_or(state.history.OffsetInForce());
  record.manifest = aManifest;
  record.publisher = this->ownId;
  if (state.history.IsCertain() && record.base != state.history.OffsetInForce()) {
    auto lost = this->MakeOutcome(state, "");
    lost.verdict = Verdict::Lost;
    lost.detail = fmt::format("base offset {} is not in force; nothing was appended", record.base);
    return lost;
  }

  // Append, then search the stream for the record whether or not the append succeeded. Repeat while it is not there
  const std::string text = WriteConfigurationRecord(record);
  while (true) {
    const auto appended = this->log.Append(stream, text);
    const auto caughtUp = this->CatchUp(state, stream);
    if (state.ownOffset != kNoOffset && (state.verdict || !state.history.IsCertain())) {
      return this->MakeOutcome(state,
                               "the retained records do not determine the configuration in force");
    }
    const bool bothAnswered = appended.has_value() && caughtUp.has_value();
    const Error error =
      !appended   ? appended.error()
      : !caughtUp ? caughtUp.error()
                  : Error(ErrorKind::Internal,
                          "the log confirmed the append, but the record is not in the stream");
    if (bothAnswered || !this->Pause(error)) {
      return this->MakeOutcome(state, error.message);
    }
  }
}

Result<void>
ConfigurationPublisher::CatchUp(StreamState& aState, std::string_view aStream) const
{
  while (true) {
    const auto page = this->log.Read(aStream, aState.history.NextOffset(), this->settings.pageLimit,
                                     Milliseconds(0));
    if (!page) {
      return page.error();
    }
    this->ApplyEvents(aState, aState.history.ObserveStart(page.value().start));
    for (const LogRecord& record : page.value().records) {
      this->ApplyEvents(aState, aState.history.Apply(record.offset, record.data));
      JsonFaults faults;
      const auto parsed = ReadConfigurationRecord(record.data, aState.history.Market(), faults);
      if (parsed && parsed->publisher == this->ownId && aState.ownOffset == kNoOffset) {
        aState.ownOffset = record.offset;
      }
    }
    if (page.value().records.empty()) {
      return boost::outcome_v2::success();
    }
  }
}

Result<void>
ConfigurationPublisher::CatchUpWithRetries(StreamState& aState, std::string_view aStream)
{
  while (true) {
    auto caughtUp = this->CatchUp(aState, aStream);
    if (caughtUp || !this->Pause(caughtUp.error())) {
      return caughtUp;
    }
  }
}

void
ConfigurationPublisher::ApplyEvents(StreamState& aState,
                                    const ConfigurationHistory::Events& aEvents) const
{
  for (const auto& event : aEvents) {
    if (event.kind == Kind::Accepted) {
      aState.winner = event.publisher;
    }
    const bool isDecisive = event.kind == Kind::Accepted || event.kind == Kind::LostRace;
    if (isDecisive && event.publisher == this->ownId && !aState.verdict) {
      aState.verdict = event;
    }
  }
}

PublishOutcome
ConfigurationPublisher::MakeOutcome(const StreamState& aState, std::string aReason) const
{
  PublishOutcome outcome;
  outcome.offset = aState.ownOffset;
  outcome.inForce = aState.history.OffsetInForce();
  outcome.winner = aState.winner;
  outcome.detail = std::move(aReason);
  if (aState.verdict) {
    const bool accepted = aState.verdict->kind == Kind::Accepted;
    outcome.verdict = accepted ? Verdict::Accepted : Verdict::Lost;
    outcome.offset = aState.verdict->offset;
    outcome.detail = aState.verdict->detail;
  }
  return outcome;
}

bool
ConfigurationPublisher::Pause(const Error& aError)
{
  const auto remaining =
    std::chrono::duration_cast<Milliseconds>(this->deadline - this->clock.Now());
  if (remaining.count() <= 0) {
    return false;
  }
  std::this_thread::sleep_for(std::min(this->backoff.Next(aError), remaining));
  return true;
}

} // namespace lagoonward
