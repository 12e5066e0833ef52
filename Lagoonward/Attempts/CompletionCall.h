#pragma once

#include "Lagoonward/Attempts/DispatchClaim.h"
#include "Lagoonward/Attempts/EngineStream.h"
#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/SharedBytes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward {

/// Caller, limits and service targets of a request. Shared by calls to models and to plain services.
struct CallTerms
{
  std::string requestId;
  std::string market;
  std::string client;
  std::string idempotencyKey; ///< Empty if the caller sent none.
  bool idempotent = true;     ///< Whether it may run more than once.
  std::uint64_t bodyHash =
    0; ///< Hash of all that is requested; distinguishes two bodies of one key.
  ManifestClass callClass;
  int rank = 0; ///< Rank of the class's priority among the manifest's classes; 0 is the lowest.
  ManifestObjective objective;
  TimePoint accepted; ///< When the request had been received completely.
  TimePoint deadline;
  /// The share of the memory of all requests that this one occupies until it ends; see ConnectionTable. May be null.
  std::shared_ptr<const void> requestMemory;
  std::shared_ptr<DispatchClaim> claim; ///< Set if the request may run under this claim only.

  /// Whether the request must be claimed in the log first. Without an idempotency key no claim is needed: no other
  /// daemon can run the same request, and this daemon dispatches it only once.
  [[nodiscard]] bool NeedsClaim() const
  {
    return !this->idempotent && !this->idempotencyKey.empty();
  }

  /// Hash of client, market and body; equal for repeated requests of a client.
  [[nodiscard]] std::uint64_t Fingerprint() const
  {
    return HashBytes(this->client, HashBytes(this->market, this->bodyHash));
  }

  /// Market, client and idempotency key as one string; empty without an idempotency key.
  [[nodiscard]] std::string RegistryKey() const
  {
    return this->idempotencyKey.empty()
             ? std::string()
             : this->market + "/" + this->client + "/" + this->idempotencyKey;
  }
};

/// A validated request for a model.
struct CompletionCall
{
  CallTerms terms;
  EngineCall engine;
  int promptTokens = 0;                    ///< Estimated.
  std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's complete blocks.
  std::string takeOverEndpoint; ///< Endpoint that runs the stream of a lost daemon; empty if none.
  std::string takeOverStream;   ///< Id of that stream, which is resumed.
  std::string requestedModel;   ///< The `model` field as the caller sent it.

  /// The model or service of the answer, as the caller named it.
  [[nodiscard]] const std::string& Target() const { return this->requestedModel; }
};

/// A validated request for a plain service.
struct ServiceCall
{
  CallTerms terms;
  std::string service;
  std::string path; ///< Path below the service, with a leading slash.
  std::string contentType;
  SharedBytes body; ///< Shared with all attempts.

  /// The model or service of the answer, as the caller named it.
  [[nodiscard]] const std::string& Target() const { return this->service; }
};

} // namespace lagoonward
