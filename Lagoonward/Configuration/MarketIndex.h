#pragma once

#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <stop_token>
#include <string>
#include <string_view>
#include <thread>

namespace lagoonward {

/// Name of the log stream that lists the markets. A log cannot tell which streams it has, so each
/// publication adds its market's name here: `{"market":NAME}`. An entry only leads readers to the
/// stream `config/NAME`; it settles nothing, and one that stands twice is harmless.
inline constexpr std::string_view kMarketIndexStream = "markets";

/// The record that adds a market.
[[nodiscard]] std::string
WriteMarketIndexRecord(std::string_view aMarket);

/// The market that a record names, or an empty string if it is not a valid record.
[[nodiscard]] std::string
ReadMarketIndexRecord(std::string_view aRecord);

/// Tunables of the index's reader.
struct MarketIndexSettings
{
  Milliseconds pollWait{ 10'000 };      ///< Longest wait of one long poll.
  Milliseconds retryPause{ 1000 };      ///< After a read that failed.
  Milliseconds refreshAfter{ 120'000 }; ///< A name not seen for so long is written again.
  int pageLimit = 256;                  ///< Records in one read.
};

/// What the reader needs from the rest of the daemon. Safe from any thread.
struct MarketIndexHooks
{
  std::function<void(const std::string& aMarket)> onMarket; ///< A market's name was read.
  /// How many daemons come before this one in writing a market's name again; zero for the first.
  std::function<int(const std::string& aMarket)> refreshRank;
};

/// Reads the index of markets on a thread of its own, and writes names forward before they lapse.
class MarketIndexReader final : public Service
{
public:
  static constexpr std::string_view kName = "market-index";

  /// @param aLog  interrupted by Stop(), so not to be shared with services that stop later
  MarketIndexReader(const MarketIndexSettings& aSettings, MarketIndexHooks aHooks, LogService& aLog,
                    const Clock& aClock);
  ~MarketIndexReader() override;

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Whether the index has been read at least once. Any thread.
  [[nodiscard]] bool HasRead() const { return this->hasRead; }

  /// One round: reads what is new and writes forward what is due. For the thread, and for tests.
  /// @return whether the log answered
  bool Step();

private:
  void Take(const LogRecord& aRecord);
  void Refresh();

  MarketIndexSettings settings;
  MarketIndexHooks hooks;
  LogService& log;
  const Clock& clock;
  Offset next = 0;                                    ///< First record not yet read.
  std::map<std::string, TimePoint, std::less<>> seen; ///< When each name was last read.
  std::atomic<bool> hasRead{ false };
  std::mutex sleepMutex;
  std::condition_variable_any sleeping;
  std::jthread thread;
};

} // namespace lagoonward
