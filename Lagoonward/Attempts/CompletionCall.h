#pragma once

#include "Lagoonward/Attempts/DispatchClaim.h"
#include "Lagoonward/Attempts/EngineStream.h"
#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Hash.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward {

/// Who asks, and what they are owed. The same for models and plain services.
struct CallTerms
{
  std::string requestId;
  std::string market;
  std::string client;
  std::string idempotencyKey; ///< Empty when the caller gave none.
  bool idempotent = true;     ///< Whether it may run more than once.
  std::uint64_t bodyHash = 0; ///< Of all that is asked for; tells apart two bodies under one key.
  ManifestClass callClass;
  int rank = 0; ///< Of the class's priority among the manifest's classes, 0 the lowest.
  ManifestObjective objective;
  TimePoint accepted; ///< When the request had come in whole.
  TimePoint deadline;
  std::shared_ptr<DispatchClaim> claim; ///< Set when it may run under this claim only.

  /// Whether it must be claimed in the log first. Without a key nobody else can send it again, and
  /// this daemon dispatches it once.
  [[nodiscard]] bool NeedsClaim() const
  {
    return !this->idempotent && !this->idempotencyKey.empty();
  }

  /// Names what is asked, the same each time that the client asks it.
  [[nodiscard]] std::uint64_t Print() const
  {
    return HashBytes(this->client, HashBytes(this->market, this->bodyHash));
  }

  /// Market, client and key as one text; empty without an idempotency key.
  [[nodiscard]] std::string RegistryKey() const
  {
    return this->idempotencyKey.empty()
             ? std::string()
             : this->market + "/" + this->client + "/" + this->idempotencyKey;
  }
};

/// A checked request for a model.
struct CompletionCall
{
  CallTerms terms;
  EngineCall engine;
  int promptTokens = 0;                    ///< Estimated.
  std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's whole blocks.
  std::string takeOverEndpoint;            ///< Endpoint of a lost daemon's stream; else empty.
  std::string takeOverStream;              ///< That stream, to be gone on with.
  std::string askedModel;                  ///< The `model` field as the caller wrote it.

  /// What the answer is for, as the caller named it.
  [[nodiscard]] const std::string& Target() const { return this->askedModel; }
};

/// A checked request for a plain service.
struct ServiceCall
{
  CallTerms terms;
  std::string service;
  std::string path; ///< Below the service, with a leading slash.
  std::string contentType;
  std::string body;

  /// What the answer is for, as the caller named it.
  [[nodiscard]] const std::string& Target() const { return this->service; }
};

} // namespace lagoonward
