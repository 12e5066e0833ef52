#pragma once

#include "Lagoonward/Configuration/ConfigurationHistory.h"
#include "Lagoonward/Providers/Backoff.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// Tunables of publishing.
struct PublisherSettings
{
  Milliseconds timeout{ 10'000 }; ///< For the whole publication, outages of the log included.
  int pageLimit = 8;              ///< Records in one read.
  BackoffSettings backoff;        ///< Between attempts while the log is away.
};

/// What became of one publication.
struct PublishOutcome
{
  enum class Verdict
  {
    Accepted, ///< It came into force.
    Lost,     ///< Another record was in force; this one never counts.
    Unknown,  ///< The log did not tell in time; the record may still come into force.
  };

  Verdict verdict = Verdict::Unknown;
  Offset offset = kNoOffset;  ///< Of this publisher's own record, if it is known.
  Offset inForce = kNoOffset; ///< In force when the verdict was reached.
  RecordId winner;            ///< Who published what is in force; empty if that is not known.
  std::string detail;         ///< Reason, for Lost and Unknown.
};

/// Publishes one manifest on the log and tells who won. An append whose answer was lost is settled by
/// reading the stream for this publisher's own record; while it is not there the same record is
/// appended again, which is harmless: of two copies with one base at most the first counts.
class ConfigurationPublisher
{
public:
  /// @param aIncarnation  identifies this run of the publisher; never reused
  ConfigurationPublisher(LogService& aLog, const Clock& aClock, PublisherSettings aSettings,
                         std::string aIncarnation);

  /// Blocks until the verdict, for up to `timeout`.
  /// @param aBase  the offset that the manifest builds on; nothing for what is in force
  /// @return PlatformUnavailable if nothing was appended as the log did not answer, NoConfiguration
  ///         if what is in force can't be told from the records that are kept
  [[nodiscard]] Result<PublishOutcome> Publish(const Manifest& aManifest,
                                               std::optional<Offset> aBase);

private:
  /// What the stream has told so far.
  struct Reading
  {
    explicit Reading(std::string aMarket);

    ConfigurationHistory history;
    RecordId winner;                           ///< Publisher of what is in force, if read.
    std::optional<ConfigurationEvent> verdict; ///< On the own record; the first that counts.
    Offset ownOffset = kNoOffset;              ///< Where the own record was seen.
  };

  /// Reads to the end of the stream. Fails at the first read without an answer.
  [[nodiscard]] Result<void> CatchUp(Reading& aReading, std::string_view aStream) const;

  /// As CatchUp(), but tries again until the deadline.
  [[nodiscard]] Result<void> CatchUpInTime(Reading& aReading, std::string_view aStream);

  void Note(Reading& aReading, const ConfigurationHistory::Events& aEvents) const;
  [[nodiscard]] PublishOutcome Judge(const Reading& aReading, std::string aDoubt) const;
  [[nodiscard]] bool Pause(const Error& aError);

  LogService& log;
  const Clock& clock;
  PublisherSettings settings;
  RecordId own;
  Backoff backoff;
  TimePoint deadline;
};

} // namespace lagoonward
