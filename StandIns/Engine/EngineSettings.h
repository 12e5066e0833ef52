#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// An adapter that an engine holds.
struct HeldAdapter
{
  std::string name;
  std::string version;
};

/// A model that an engine holds.
struct HeldModel
{
  std::string name;
  std::string version;
  std::vector<HeldAdapter> adapters;

  /// Reads `NAME@VERSION[+ADAPTER@VERSION]…`. Throws std::invalid_argument on anything else.
  [[nodiscard]] static HeldModel Parse(const std::string& aText);
};

/// What one model engine stand-in is like.
struct EngineSettings
{
  std::string id = "engine-1";
  std::string failureDomain = "here";
  std::string role = "general";
  bool fenced = false;           ///< Refuses orders with an old fencing number.
  std::vector<HeldModel> models; ///< Loaded from the start.
  std::string weightStoreUrl;    ///< Empty: a load order needs no weights.

  int maxBatch = 64;                              ///< Streams that run at once.
  std::chrono::microseconds stepBase{ 15000 };    ///< Length of a step with an empty batch.
  std::chrono::microseconds stepPerStream{ 150 }; ///< What each running stream adds to a step.
  std::int64_t prefillTokensPerSecond = 20000;    ///< Speed at which a prompt is read.
  std::int64_t prefillChunk = 512;                ///< Prompt tokens read in one step, at most.
  std::size_t kvBlocks = 8192;                    ///< KV memory, in blocks of 16 tokens.
  std::int64_t bytesPerBlock = 32768;             ///< Size of an exported block.
  std::int64_t kvBytesPerSecond = 250'000'000;    ///< Speed of a KV transfer.

  std::chrono::milliseconds loadLag{ 500 };         ///< Age that `GET /v1/load` may have.
  std::chrono::milliseconds cacheEventDelay{ 500 }; ///< Events are told so late.
  std::size_t cacheEventsKept = 4096;               ///< Older ones become a gap.
  std::chrono::milliseconds modelLoadTime{ 1000 };  ///< Length of a load order.
  std::chrono::milliseconds orphanTime{ 10000 };    ///< A stream with no reader lives on so long.
  std::chrono::milliseconds finishedKept{ 30000 };  ///< A finished stream can be read so long.
};

} // namespace lagoonward::standins
