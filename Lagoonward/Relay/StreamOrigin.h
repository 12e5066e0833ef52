#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// A stream is taken up at most this long after its first event, counted over all tries of its caller, or its origin is still
/// recorded. A route's timeout does not bound it.
inline constexpr Milliseconds kMaximumStreamAge = Seconds(60);

/// Stands for the software version of a stream's origin where it can't be determined. No endpoint runs it, so that nothing
/// continues the stream.
inline constexpr std::string_view kUnknownSoftwareVersion = "\x1funknown";

/// What wrote the events of a stream that its caller has received. Only endpoints of the same service and software
/// version can continue the stream.
struct StreamOrigin
{
  std::string service;
  std::string softwareVersion; ///< See Endpoint::softwareVersion, or kUnknownSoftwareVersion.

  bool operator==(const StreamOrigin& aOther) const = default;
};

/// A stream that a caller takes up.
struct StreamOriginRequest
{
  std::uint64_t stream = 0; ///< See StreamKeyOf().
  std::string service;      ///< That its route selects now.

  /// A stream whose origin is not recorded began at most this long ago.
  Milliseconds maximumAge{ 0 };
};

/// What is known of a stream that a caller takes up.
struct StreamOriginReply
{
  std::optional<StreamOrigin> origin; ///< As it was recorded.

  /// If no origin is recorded: the only software version that the service has run within the maximum age, as one of the
  /// daemons that were asked knows; nothing if none of them knows, or if one has seen another version.
  std::optional<std::string> soleVersion;
};

using StreamOriginHandler = std::function<void(const StreamOriginReply& aReply)>;

/// Key of a stream: the request of a caller that brought its first event.
/// @param aAccount  the caller's client account, so that no caller can continue another account's stream
[[nodiscard]] std::uint64_t
StreamKeyOf(std::string_view aAccount, std::string_view aRequestId);

/// Keeps the origins of streams, so that a stream can be continued by whichever daemon its caller asks next.
class StreamOriginStore
{
public:
  virtual ~StreamOriginStore() = default;

  /// Records the origin of a stream, or extends the retention of a recorded one. One whose version is unknown stays so, as
  /// records may arrive out of order. Any thread.
  virtual void Record(std::uint64_t aStream, const StreamOrigin& aOrigin) = 0;

  /// Finds the origin of a stream.
  /// @param aFound  called once, from any thread
  virtual void Find(const StreamOriginRequest& aRequest, StreamOriginHandler aFound) = 0;
};

} // namespace lagoonward
