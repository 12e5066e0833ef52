#pragma once

#include "StandIns/Engine/ComputeLedger.h"
#include "StandIns/Engine/TokenFunction.h"
#include "StandIns/Faults.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// What a caller asked of an engine.
struct CompletionRequest
{
  std::string requestId;
  std::string attemptId;
  Question question;        ///< With the model's version and the adapter resolved.
  std::string askedVersion; ///< What the answer's `version` fields say.
  std::int64_t maxTokens = 16;
  int priority = 0;
  std::vector<std::string> resumeTokens;
};

/// One answer that an engine is generating, or has lately.
struct EngineStream
{
  enum class State
  {
    Waiting,
    Running,
    Finished,
    Cancelled,
  };

  std::string id;
  CompletionRequest request;
  State state = State::Waiting;
  std::uint64_t key = 0;           ///< From which the tokens follow.
  std::int64_t length = 0;         ///< Tokens of the whole answer.
  std::vector<std::string> tokens; ///< From index 0 on, resumed ones included.
  std::int64_t arrival = 0;        ///< Order of arrival at the engine.

  // Cache
  std::vector<std::uint64_t> chain;      ///< Whole blocks of prompt and answer so far.
  std::vector<std::string> partialBlock; ///< Words after the last whole block.
  std::int64_t position = 0;             ///< Words of prompt and answer so far.
  std::size_t pinnedBlocks = 0;          ///< Leading blocks of the chain that it holds.
  std::int64_t prefillLeft = 0;          ///< Words still to be read before it can generate.
  std::shared_ptr<ComputeLedger::Progress> progress;

  // Reader
  std::shared_ptr<HttpExchange> reader;            ///< Empty while nobody reads.
  std::int64_t sent = 0;                           ///< Index of the next token to send.
  std::chrono::steady_clock::time_point idleSince; ///< When it lost its reader, or ended.

  // Faults that strike this stream
  std::optional<Fault> cut;
  std::optional<Fault> crossed;
  std::optional<Fault> skipped;
};

} // namespace lagoonward::standins
