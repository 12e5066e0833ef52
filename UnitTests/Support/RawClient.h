#pragma once

#include "Lagoonward/Core/UniqueFd.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoonward::testing {

/// A connection to a loopback port that sends exactly what it is told to and closes as it is told to.
class RawClient
{
public:
  explicit RawClient(std::uint16_t aPort);

  void Send(std::string_view aBytes);

  /// Reads until the bytes hold a text, the connection ends, or ten seconds have passed.
  /// @return what has been read
  [[nodiscard]] std::string Read(std::string_view aUntil);

  /// Reads until the connection ends.
  [[nodiscard]] std::string ReadToEnd();

  /// Announces that nothing more will be sent.
  void CloseSendingHalf();
  void Close();

private:
  UniqueFd socket;
};

} // namespace lagoonward::testing
