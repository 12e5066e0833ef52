#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// One record of a log stream.
struct LogRecord
{
  Offset offset = kNoOffset;
  std::string data;
};

/// A range of records of a log stream.
struct LogPage
{
  Offset start = 0;       ///< Oldest offset that is retained.
  Offset end = 0;         ///< Offset of the next record to be appended.
  std::int64_t epoch = 0; ///< Of the log, see LogPosition.
  std::vector<LogRecord> records;
};

/// The platform's append-only log. All calls block, up to the adapter's timeout, and must not be made on the control
/// thread or a traffic thread. Any call may fail with PlatformUnavailable; a failed append may still have taken effect.
class LogService
{
public:
  virtual ~LogService() = default;

  /// Appends one record.
  /// @return the record's position
  [[nodiscard]] virtual Result<LogPosition> Append(std::string_view aStream,
                                                   std::string_view aRecord) = 0;

  /// Reads up to aLimit records starting at aFrom. Waits up to aWait for the first record.
  [[nodiscard]] virtual Result<LogPage> Read(std::string_view aStream, Offset aFrom, int aLimit,
                                             Milliseconds aWait) = 0;

  /// Makes calls in progress and all later calls fail soon. Used for stopping. Thread-safe.
  virtual void Interrupt() {}
};

/// A notice of the cloud that it reclaims a host or a failure domain.
struct ReclaimNotice
{
  std::string host; ///< Empty if the complete failure domain is reclaimed.
  std::string failureDomain;
  WallTime at;             ///< Time at which the notice was given.
  Milliseconds grace{ 0 }; ///< Time from the notice until the host is reclaimed.
};

/// A range of the cloud's list of notices.
struct NoticePage
{
  Offset start = 0;
  Offset end = 0;
  std::vector<ReclaimNotice> notices;
};

/// A request to start a host. Requests with the same client token start at most one host.
struct HostRequest
{
  std::string clientToken;
  EndpointKind kind = EndpointKind::Engine;
  std::string machineClass;
  std::string failureDomain;
  bool reclaimable = true;
};

/// The cloud's interface for hosts, prices and reclaim notices. Calls block as those of LogService.
class CloudService
{
public:
  virtual ~CloudService() = default;
  /// @return the new host's id
  [[nodiscard]] virtual Result<std::string> StartHost(const HostRequest& aRequest) = 0;
  [[nodiscard]] virtual Result<void> StopHost(std::string_view aId) = 0;
  [[nodiscard]] virtual Result<std::vector<Price>> Prices() = 0;
  [[nodiscard]] virtual Result<NoticePage> Notices(Offset aFrom, Milliseconds aWait) = 0;
};

/// An entry of the host list. The data may be several seconds old.
struct HostEntry
{
  enum class Kind
  {
    Daemon,
    Engine,
    Service,
  };

  std::string id;
  Kind kind = Kind::Engine;
  std::string address;
  std::uint16_t port = 0; ///< The peer port, for a daemon.
  std::string failureDomain;
  std::string region;
  std::string machineClass;
  std::string name;
  bool leaving = false;
};

/// The platform's list of hosts, which lags behind. Calls block as those of LogService.
class HostListService
{
public:
  virtual ~HostListService() = default;
  [[nodiscard]] virtual Result<std::vector<HostEntry>> Hosts() = 0;
};

/// The platform's rate-limited store of model weights. Calls block as those of LogService.
class WeightStore
{
public:
  virtual ~WeightStore() = default;

  /// Checks whether the store currently serves these weights. The weights themselves are discarded.
  /// @return PlatformUnavailable with `retryAfter` while the store limits the rate, UnknownModel if it does not have
  ///         these weights
  [[nodiscard]] virtual Result<void> Check(std::string_view aModel, std::string_view aVersion) = 0;
};

} // namespace lagoonward
