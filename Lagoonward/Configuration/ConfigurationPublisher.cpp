#include "Lagoonward/Configuration/ConfigurationPublisher.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <thread>

namespace lagoonward {

using Kind = ConfigurationEvent::Kind;
using Verdict = PublishOutcome::Verdict;

ConfigurationPublisher::Reading::Reading(std::string aMarket)
  : history(std::move(aMarket))
{
}

ConfigurationPublisher::ConfigurationPublisher(LogService& aLog, const Clock& aClock,
                                               PublisherSettings aSettings,
                                               std::string aIncarnation)
  : log(aLog)
  , clock(aClock)
  , settings(aSettings)
  , own{ std::move(aIncarnation), 0 }
  , backoff(aSettings.backoff, HashBytes(this->own.incarnation))
{
}

Result<PublishOutcome>
ConfigurationPublisher::Publish(const Manifest& aManifest, std::optional<Offset> aBase)
{
  this->deadline = this->clock.Now() + this->settings.timeout;
  ++this->own.sequence;
  const std::string stream = ConfigurationStream(aManifest.market);
  Reading reading(aManifest.market);

  // Learn what is in force
  if (auto caughtUp = this->CatchUpInTime(reading, stream); !caughtUp) {
    return caughtUp.error();
  }
  if (!aBase && !reading.history.IsCertain()) {
    return Error(ErrorKind::NoConfiguration,
                 "the records that are kept do not tell what is in force; name the base");
  }
  ConfigurationRecord record;
  record.base = aBase.value_or(reading.history.OffsetInForce());
  record.manifest = aManifest;
  record.publisher = this->own;
  if (reading.history.IsCertain() && record.base != reading.history.OffsetInForce()) {
    auto lost = this->Judge(reading, "");
    lost.verdict = Verdict::Lost;
    lost.detail = fmt::format("base {} is not in force; nothing was appended", record.base);
    return lost;
  }

  // Append, and look for the record whatever the answer; repeat while it is not there
  const std::string text = WriteConfigurationRecord(record);
  while (true) {
    const auto appended = this->log.Append(stream, text);
    const auto caughtUp = this->CatchUp(reading, stream);
    if (reading.ownOffset != kNoOffset && (reading.verdict || !reading.history.IsCertain())) {
      return this->Judge(reading, "what is in force can't be told from the records that are kept");
    }
    const bool bothAnswered = appended.has_value() && caughtUp.has_value();
    const Error error = !appended   ? appended.error()
                        : !caughtUp ? caughtUp.error()
                                    : Error(ErrorKind::Internal, "the log lost the record");
    if (bothAnswered || !this->Pause(error)) {
      return this->Judge(reading, error.message);
    }
  }
}

Result<void>
ConfigurationPublisher::CatchUp(Reading& aReading, std::string_view aStream) const
{
  while (true) {
    const auto page = this->log.Read(aStream, aReading.history.NextOffset(),
                                     this->settings.pageLimit, Milliseconds(0));
    if (!page) {
      return page.error();
    }
    this->Note(aReading, aReading.history.ObserveStart(page.value().start));
    for (const LogRecord& record : page.value().records) {
      this->Note(aReading, aReading.history.Apply(record.offset, record.data));
      JsonFaults faults;
      const auto parsed = ReadConfigurationRecord(record.data, aReading.history.Market(), faults);
      if (parsed && parsed->publisher == this->own && aReading.ownOffset == kNoOffset) {
        aReading.ownOffset = record.offset;
      }
    }
    if (page.value().records.empty()) {
      return boost::outcome_v2::success();
    }
  }
}

Result<void>
ConfigurationPublisher::CatchUpInTime(Reading& aReading, std::string_view aStream)
{
  while (true) {
    auto caughtUp = this->CatchUp(aReading, aStream);
    if (caughtUp || !this->Pause(caughtUp.error())) {
      return caughtUp;
    }
  }
}

void
ConfigurationPublisher::Note(Reading& aReading, const ConfigurationHistory::Events& aEvents) const
{
  for (const auto& event : aEvents) {
    if (event.kind == Kind::Accepted) {
      aReading.winner = event.publisher;
    }
    const bool counts = event.kind == Kind::Accepted || event.kind == Kind::LostRace;
    if (counts && event.publisher == this->own && !aReading.verdict) {
      aReading.verdict = event;
    }
  }
}

PublishOutcome
ConfigurationPublisher::Judge(const Reading& aReading, std::string aDoubt) const
{
  PublishOutcome outcome;
  outcome.offset = aReading.ownOffset;
  outcome.inForce = aReading.history.OffsetInForce();
  outcome.winner = aReading.winner;
  outcome.detail = std::move(aDoubt);
  if (aReading.verdict) {
    const bool accepted = aReading.verdict->kind == Kind::Accepted;
    outcome.verdict = accepted ? Verdict::Accepted : Verdict::Lost;
    outcome.offset = aReading.verdict->offset;
    outcome.detail = aReading.verdict->detail;
  }
  return outcome;
}

bool
ConfigurationPublisher::Pause(const Error& aError)
{
  const auto left = std::chrono::duration_cast<Milliseconds>(this->deadline - this->clock.Now());
  if (left.count() <= 0) {
    return false;
  }
  std::this_thread::sleep_for(std::min(this->backoff.Next(aError), left));
  return true;
}

} // namespace lagoonward
