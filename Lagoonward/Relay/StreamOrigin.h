#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// What wrote the events of a stream that its caller has received. Only endpoints of the same service and software
/// version can continue the stream.
struct StreamOrigin
{
  std::string service;
  std::string softwareVersion; ///< See Endpoint::softwareVersion.

  bool operator==(const StreamOrigin& aOther) const = default;
};

/// Key of a stream: the request of a caller that brought its first event.
/// @param aAccount  the caller's client account, so that no caller can continue another account's stream
[[nodiscard]] std::uint64_t
StreamKeyOf(std::string_view aAccount, std::string_view aRequestId);

/// Keeps the origins of streams, so that a stream can be continued by whichever daemon its caller asks next.
class StreamOriginStore
{
public:
  virtual ~StreamOriginStore() = default;

  /// Records the origin of a stream, or extends the retention of a recorded one. Any thread.
  virtual void Record(std::uint64_t aStream, const StreamOrigin& aOrigin) = 0;

  /// Finds the origin of a stream.
  /// @param aFound  called once, from any thread; with nothing if no daemon that answered in time knows the stream
  virtual void Find(std::uint64_t aStream,
                    std::function<void(const std::optional<StreamOrigin>& aOrigin)> aFound) = 0;
};

} // namespace lagoonward
