#include "Lagoonward/Configuration/MarketIndex.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonward {

namespace {

constexpr std::size_t kMaxMarketNameBytes = 64;

} // namespace

std::string
WriteMarketIndexRecord(std::string_view aMarket)
{
  return nlohmann::json{ { "market", aMarket } }.dump();
}

std::string
ReadMarketIndexRecord(std::string_view aRecord)
{
  const auto record = nlohmann::json::parse(aRecord, nullptr, false);
  if (!record.is_object() || !record.contains("market") || !record["market"].is_string()) {
    return {};
  }
  const auto name = record["market"].get<std::string>();
  const bool valid = name.size() <= kMaxMarketNameBytes &&
                     std::all_of(name.begin(), name.end(), [](unsigned char aByte) {
                       return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
                     });
  return valid ? name : std::string();
}

MarketIndexReader::MarketIndexReader(const MarketIndexSettings& aSettings, MarketIndexHooks aHooks,
                                     LogService& aLog, const Clock& aClock)
  : settings(aSettings)
  , hooks(std::move(aHooks))
  , log(aLog)
  , clock(aClock)
{
}

MarketIndexReader::~MarketIndexReader()
{
  this->Stop();
}

std::string_view
MarketIndexReader::Name() const
{
  return kName;
}

Result<void>
MarketIndexReader::Start()
{
  this->thread = std::jthread([this](const std::stop_token& aStop) {
    while (!aStop.stop_requested()) {
      if (!this->Step() && !aStop.stop_requested()) {
        std::unique_lock lock(this->retryMutex);
        this->retryCondition.wait_for(lock, aStop, this->settings.retryPause, [] { return false; });
      }
    }
  });
  return boost::outcome_v2::success();
}

void
MarketIndexReader::Stop()
{
  this->thread.request_stop();
  this->log.Interrupt();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

bool
MarketIndexReader::Step()
{
  const auto page = this->log.Read(kMarketIndexStream, this->next, this->settings.pageLimit,
                                   this->settings.pollWait);
  if (!page) {
    return false;
  }
  for (const LogRecord& record : page.value().records) {
    this->Apply(record);
  }
  // Names that expired unread are appended again by a daemon that has read them
  this->next = std::max(this->next, page.value().start);
  this->hasRead = true;
  this->Refresh();
  return true;
}

void
MarketIndexReader::Apply(const LogRecord& aRecord)
{
  this->next = std::max(this->next, aRecord.offset + 1);
  const std::string market = ReadMarketIndexRecord(aRecord.data);
  if (market.empty()) {
    return;
  }
  this->lastSeen[market] = this->clock.Now();
  this->hooks.onMarket(market);
}

void
MarketIndexReader::Refresh()
{
  const TimePoint now = this->clock.Now();
  for (auto& [market, seenAt] : this->lastSeen) {
    const auto due = this->settings.refreshAfter * (1 + this->hooks.refreshRank(market));
    // If the response is lost, the name may be appended twice, which is harmless
    if (now - seenAt >= due &&
        this->log.Append(kMarketIndexStream, WriteMarketIndexRecord(market))) {
      seenAt = now;
    }
  }
}

} // namespace lagoonward
