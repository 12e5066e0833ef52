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

/// Part of a log stream.
struct LogPage
{
  Offset start = 0; ///< Oldest offset that is still kept.
  Offset end = 0;   ///< Offset that the next record will get.
  std::vector<LogRecord> records;
};

/// The platform's append-only log. All calls block, up to the adapter's timeout; never called from
/// the control thread or a traffic thread. Any call may fail with PlatformUnavailable, and a failed
/// append may still have taken effect.
class LogService
{
public:
  virtual ~LogService() = default;

  /// Appends one record.
  /// @return the record's offset
  [[nodiscard]] virtual Result<Offset> Append(std::string_view aStream,
                                              std::string_view aRecord) = 0;

  /// Reads up to aLimit records from aFrom on, waiting up to aWait for the first.
  [[nodiscard]] virtual Result<LogPage> Read(std::string_view aStream, Offset aFrom, int aLimit,
                                             Milliseconds aWait) = 0;

  /// Makes calls in progress, and all later ones, fail soon. For stopping; safe from any thread.
  virtual void Interrupt() {}
};

/// One reclaim notice of the cloud.
struct ReclaimNotice
{
  std::string host; ///< Empty when the whole failure domain goes.
  std::string failureDomain;
  WallTime at;             ///< When the notice was given.
  Milliseconds grace{ 0 }; ///< How long the host stays after that.
};

/// Part of the cloud's list of notices.
struct NoticePage
{
  Offset start = 0;
  Offset end = 0;
  std::vector<ReclaimNotice> notices;
};

/// A host to be started. The same token never starts a second one.
struct HostRequest
{
  std::string clientToken;
  EndpointKind kind = EndpointKind::Engine;
  std::string machineClass;
  std::string failureDomain;
  bool reclaimable = true;
};

/// The cloud's interface for hosts, prices and notices. Blocking, like LogService.
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

/// What the host list says of one host. Seconds old.
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
  std::uint16_t port = 0; ///< For a daemon: its peer port.
  std::string failureDomain;
  std::string region;
  std::string machineClass;
  std::string name;
  bool leaving = false;
};

/// The platform's lagging list of hosts. Blocking, like LogService.
class HostListService
{
public:
  virtual ~HostListService() = default;
  [[nodiscard]] virtual Result<std::vector<HostEntry>> Hosts() = 0;
};

/// The platform's rate-limited store of weights. Blocking, like LogService.
class WeightStore
{
public:
  virtual ~WeightStore() = default;

  /// Asks whether the store hands out these weights now; the weights themselves are not kept.
  /// @return PlatformUnavailable with `retryAfter` while the store limits its rate, UnknownModel
  ///         when it has no such weights
  [[nodiscard]] virtual Result<void> Check(std::string_view aModel, std::string_view aVersion) = 0;
};

} // namespace lagoonward
