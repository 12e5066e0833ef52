#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// An adapter that is loaded on an engine.
struct EngineAdapter
{
  std::string name;
  std::string version;
};

/// A model that is loaded on an engine.
struct EngineModel
{
  std::string name;
  std::string version;
  std::vector<EngineAdapter> adapters;

  /// Parses `NAME@VERSION[+ADAPTER@VERSION]…`. Throws std::invalid_argument on malformed text.
  [[nodiscard]] static EngineModel Parse(const std::string& aText);
};

/// Settings of one model engine stand-in.
struct EngineSettings
{
  std::string id = "engine-1";
  std::string failureDomain = "here";
  std::string role = "general";
  bool fenced = false;             ///< Refuse orders with an outdated fencing number.
  std::vector<EngineModel> models; ///< Loaded at startup.
  std::string weightStoreUrl;      ///< Empty: load orders fetch no weights.

  int maxBatch = 64;                              ///< Maximum number of running streams.
  std::chrono::microseconds stepBase{ 15000 };    ///< Duration of a step with an empty batch.
  std::chrono::microseconds stepPerStream{ 150 }; ///< Added to a step by each running stream.
  std::int64_t prefillTokensPerSecond = 20000;    ///< Prefill throughput.
  std::int64_t prefillChunk = 512;                ///< Maximum number of prompt tokens per step.
  std::size_t kvBlocks = 8192;                    ///< KV memory, in blocks of 16 tokens.
  std::int64_t bytesPerBlock = 32768;             ///< Size of an exported block.
  std::int64_t kvBytesPerSecond = 250'000'000;    ///< Throughput of a KV transfer.

  std::chrono::milliseconds loadLag{ 500 };         ///< Maximum age of the data of `GET /v1/load`.
  std::chrono::milliseconds cacheEventDelay{ 500 }; ///< Events are reported after this delay.
  std::size_t maxCacheEvents = 4096;               ///< Older events are dropped; readers see a gap.
  std::chrono::milliseconds modelLoadTime{ 1000 }; ///< Duration of a load order.
  std::chrono::milliseconds orphanTimeout{
    10000
  }; ///< Streams without a reader are cancelled after this.
  std::chrono::milliseconds finishedRetention{
    30000
  }; ///< Retention of ended streams, which can still be read.
};

} // namespace lagoonward::standins
