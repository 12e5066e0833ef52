#pragma once

#include "Lagoonward/Configuration/ConfigurationHistory.h"
#include "Lagoonward/Providers/Backoff.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// Settings of ConfigurationPublisher.
struct PublisherSettings
{
  Milliseconds timeout{ 10'000 }; ///< For the whole publication, including outages of the log.
  int pageLimit = 8;              ///< Most records per read.
  BackoffSettings backoff;        ///< Between attempts while the log is unavailable.
};

/// The outcome of one publication.
struct PublishOutcome
{
  enum class Verdict
  {
    Accepted, ///< The manifest came into force.
    Lost,     ///< Another record was in force; this one never takes effect.
    Unknown,  ///< Not known within the timeout; the record may still come into force.
  };

  Verdict verdict = Verdict::Unknown;
  Offset offset = kNoOffset;  ///< Of this publisher's own record, if known.
  Offset inForce = kNoOffset; ///< Offset in force at the time of the verdict.
  RecordId winner;            ///< Publisher of the record in force; empty if not known.
  std::string detail;         ///< The reason, for Lost and Unknown.
};

/// Publishes one manifest on the log and reports which record is in force. If the response to an append is
/// lost, the publisher reads the stream to find its own record; while it is not there, the same record is
/// appended again, which is harmless: of two copies with the same base at most the first takes effect.
class ConfigurationPublisher
{
public:
  /// @param aIncarnation  identifies this run of the publisher; must never be reused
  ConfigurationPublisher(LogService& aLog, const Clock& aClock, PublisherSettings aSettings,
                         std::string aIncarnation);

  /// Blocks until the outcome is known, for up to `timeout`.
  /// @param aBase  the offset that the manifest replaces; nothing for the one in force
  /// @return PlatformUnavailable if nothing was appended because the log did not respond, NoConfiguration
  ///         if the retained records do not determine the configuration in force
  [[nodiscard]] Result<PublishOutcome> Publish(const Manifest& aManifest,
                                               std::optional<Offset> aBase);

private:
  /// The state of the stream as read so far.
  struct StreamState
  {
    explicit StreamState(std::string aMarket);

    ConfigurationHistory history;
    RecordId winner;                           ///< Publisher of the record in force, if read.
    std::optional<ConfigurationEvent> verdict; ///< First accept or reject of the own record.
    Offset ownOffset = kNoOffset;              ///< Offset at which the own record was first read.
  };

  /// Reads to the end of the stream. Returns the error of the first read that fails.
  [[nodiscard]] Result<void> CatchUp(StreamState& aState, std::string_view aStream) const;

  /// As CatchUp(), but retries until the deadline.
  [[nodiscard]] Result<void> CatchUpWithRetries(StreamState& aState, std::string_view aStream);

  void ApplyEvents(StreamState& aState, const ConfigurationHistory::Events& aEvents) const;
  [[nodiscard]] PublishOutcome MakeOutcome(const StreamState& aState, std::string aReason) const;
  [[nodiscard]] bool Pause(const Error& aError);

  LogService& log;
  const Clock& clock;
  PublisherSettings settings;
  RecordId ownId;
  Backoff backoff;
  TimePoint deadline;
};

} // namespace lagoonward
