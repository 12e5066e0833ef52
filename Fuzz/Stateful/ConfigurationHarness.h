#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Configuration/ConfigurationHistory.h"

#include <array>
#include <memory>

namespace lagoonward::fuzz {

/// Tests ConfigurationHistory of three readers over one log with racing publishers. The oracle applies the rule (a
/// record takes effect only if its base is the offset in force) to the complete log. It checks that a certain reader
/// has exactly the offset in force that the log gives at its position, and that the offset in force never decreases
/// on a reader between restarts.
class ConfigurationHarness
{
public:
  static constexpr std::string_view kName = "configuration order";
  static constexpr std::array<std::string_view, 8> kOperations{
    "publish", "publish on an old base", "write checkpoint", "read some", "drop records",
    "restart", "adopt a peer's state",   "append garbage",
  };

  ConfigurationHarness();
  void Run(const Operation& aOperation);
  void Finish();

private:
  struct Reader
  {
    std::unique_ptr<ConfigurationHistory> history;
    Offset highestInForce = kNoOffset; ///< Highest offset in force since the last restart.
  };

  void Restart(int aActor);
  void Publish(Offset aBase);
  void Append(std::string aText, bool aTakesEffect);
  void Read(Reader& aReader, int aLimit);
  void Check(Reader& aReader) const;

  static constexpr std::string_view kMarket = "vestland";

  std::vector<std::string> records;    ///< All records ever written.
  std::vector<Offset> expectedInForce; ///< Offset in force after each record.
  Offset start = 0;                    ///< Offset of the oldest retained record.
  std::uint64_t sequence = 0;
  std::array<Reader, kActors> readers;
};

} // namespace lagoonward::fuzz
