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

/// Name of the log stream that lists the markets. A log cannot list its streams, so each publication
/// appends its market's name here: `{"market":NAME}`. An entry only points readers to the stream
/// `config/NAME` and has no other effect; duplicates are harmless.
inline constexpr std::string_view kMarketIndexStream = "markets";

/// The record that adds a market.
[[nodiscard]] std::string
WriteMarketIndexRecord(std::string_view aMarket);

/// The market in a record, or an empty string if the record is invalid.
[[nodiscard]] std::string
ReadMarketIndexRecord(std::string_view aRecord);

/// Settings of MarketIndexReader.
struct MarketIndexSettings
{
  Milliseconds pollWait{ 10'000 };      ///< Longest wait of one long poll.
  Milliseconds retryPause{ 1000 };      ///< After a failed read.
  Milliseconds refreshAfter{ 120'000 }; ///< Names not read for this long are appended again.
  int pageLimit = 256;                  ///< Most records per read.
};

/// Callbacks to the rest of the daemon. Must be thread-safe.
struct MarketIndexHooks
{
  std::function<void(const std::string& aMarket)> onMarket; ///< A market's name was read.
  /// Rank of this daemon among those that append a market's name again; zero for the first.
  std::function<int(const std::string& aMarket)> refreshRank;
};

/// Reads the index of markets on its own thread, and appends names again before they expire from the log.
class MarketIndexReader final : public Service
{
public:
  static constexpr std::string_view kName = "market-index";

  /// @param aLog  interrupted by Stop(); must not be shared with services that stop later
  MarketIndexReader(const MarketIndexSettings& aSettings, MarketIndexHooks aHooks, LogService& aLog,
                    const Clock& aClock);
  ~MarketIndexReader() override;

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Whether the index has been read at least once. Thread-safe.
  [[nodiscard]] bool HasRead() const { return this->hasRead; }

  /// Reads new records and appends names again that are due. Called by the thread and by tests.
  /// @return whether the read succeeded
  bool Step();

private:
  void Apply(const LogRecord& aRecord);
  void Refresh();

  MarketIndexSettings settings;
  MarketIndexHooks hooks;
  LogService& log;
  const Clock& clock;
  Offset next = 0;                                        ///< First record not yet read.
  std::map<std::string, TimePoint, std::less<>> lastSeen; ///< When each name was last read.
  std::atomic<bool> hasRead{ false };
  std::mutex retryMutex;
  std::condition_variable_any retryCondition;
  std::jthread thread;
};

} // namespace lagoonward
