#pragma once

#include "Lagoonward/Core/UniqueFd.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lagoonward::testing {

/// A TCP connection to a loopback port. The test controls exactly which bytes are sent and when each direction is
/// closed.
class RawClient
{
public:
  explicit RawClient(std::uint16_t aPort);

  void Send(std::string_view aBytes);

  /// Reads until the received bytes contain aUntil, the connection ends, or ten seconds pass without data.
  /// @return all bytes received by this call
  [[nodiscard]] std::string Read(std::string_view aUntil);

  /// Reads at least this number of bytes, unless the connection ends or ten seconds pass without data.
  /// @return the number of bytes read by this call
  std::size_t Skip(std::size_t aBytes);

  /// Reads until the connection ends.
  [[nodiscard]] std::string ReadToEnd();

  /// Whether the last call that read met a connection that was reset, rather than closed in an orderly way.
  [[nodiscard]] bool WasReset() const { return this->wasReset; }

  /// Shuts down the sending direction; the connection can still receive.
  void CloseSendingHalf();
  void Close();

private:
  /// Receives what is there, or waits for it. @return zero at the end, or when ten seconds have passed without data
  std::size_t Receive(std::span<char> aBuffer);

  UniqueFd socket;
  bool wasReset = false;
};

} // namespace lagoonward::testing
