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

/// A completion request as received by an engine.
struct CompletionRequest
{
  std::string requestId;
  std::string attemptId;
  Question question;           ///< Model version and adapter are resolved.
  std::string reportedVersion; ///< Value of the `version` fields in the answer.
  std::int64_t maxTokens = 16;
  int priority = 0;
  std::vector<std::string> resumeTokens;
};

/// One answer that an engine is generating or has recently generated.
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
  std::uint64_t answerKey = 0;     ///< Determines the tokens, see TokenText().
  std::int64_t answerLength = 0;   ///< Number of tokens of the complete answer.
  std::vector<std::string> tokens; ///< From index 0, including resumed tokens.
  std::int64_t arrival = 0;        ///< Order of arrival at the engine.

  // Cache
  std::vector<std::uint64_t> chain;      ///< Complete blocks of prompt and answer so far.
  std::vector<std::string> partialBlock; ///< Words after the last complete block.
  std::int64_t position = 0;             ///< Words of prompt and answer so far.
  std::size_t pinnedBlocks = 0;          ///< Number of leading blocks of the chain that are pinned.
  std::int64_t prefillLeft = 0;          ///< Words that must be prefilled before generation.
  std::shared_ptr<ComputeLedger::Progress> progress;

  // Reader
  std::shared_ptr<HttpExchange> reader; ///< Null while no reader is attached.
  std::int64_t nextToSend = 0;          ///< Index of the next token to send.
  std::chrono::steady_clock::time_point
    idleSince; ///< When the reader disconnected or the stream ended.

  // Faults injected into this stream
  std::optional<Fault> cut;
  std::optional<Fault> crossed;
  std::optional<Fault> skipped;
};

} // namespace lagoonward::standins
