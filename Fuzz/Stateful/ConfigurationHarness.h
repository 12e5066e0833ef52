#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Configuration/ConfigurationHistory.h"

#include <array>
#include <memory>

namespace lagoonward::fuzz {

/// ConfigurationHistory of three readers over one log with racing publishers. The oracle folds the whole
/// log by the rule alone: a certain reader has in force exactly what the log gives at its position; the
/// offset in force never goes down on a reader between restarts.
class ConfigurationHarness
{
public:
  static constexpr std::string_view kName = "configuration order";
  static constexpr std::array<std::string_view, 8> kOperations{
    "publish", "publish on an old base", "write checkpoint", "read some", "drop records",
    "restart", "take a peer's state",    "append garbage",
  };

  ConfigurationHarness();
  void Run(const Operation& aOperation);
  void Finish();

private:
  struct Reader
  {
    std::unique_ptr<ConfigurationHistory> history;
    Offset highest = kNoOffset; ///< Highest offset in force since it began.
  };

  void Restart(int aActor);
  void Publish(Offset aBase);
  void Append(std::string aText, bool aCounts);
  void Read(Reader& aReader, int aLimit);
  void Check(Reader& aReader) const;

  static constexpr std::string_view kMarket = "vestland";

  std::vector<std::string> records; ///< All ever written.
  std::vector<Offset> truth;        ///< In force after each record.
  Offset start = 0;                 ///< Oldest record that is still kept.
  std::uint64_t sequence = 0;
  std::array<Reader, kActors> readers;
};

} // namespace lagoonward::fuzz
