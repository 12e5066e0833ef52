#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/LogPosition.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// An adapter of a model and the versions that can be requested, the default one first.
struct ManifestAdapter
{
  std::string name;
  std::vector<std::string> versions;
};

/// One version of a model. Several entries may have the same name and different versions; a request
/// without a version uses the first entry.
struct ManifestModel
{
  std::string name;
  std::string version;
  std::vector<ManifestAdapter> adapters;
  int minEndpoints = 1; ///< Endpoints that must remain after the loss of any one failure domain.
};

/// A plain service that clients of the market can call.
struct ManifestService
{
  std::string name;
  bool repeatable = false; ///< Whether a call is safe to repeat.
};

/// Service level targets of one request class.
struct ManifestClass
{
  std::string name;
  Milliseconds firstToken{ 0 };    ///< Target latency of the first token.
  Milliseconds betweenTokens{ 0 }; ///< Target latency between two tokens.
  Milliseconds deadline{ 0 };      ///< Default deadline of a request.
  int priority = 0;                ///< Higher values are served first.
};

/// One client account.
struct ManifestClient
{
  std::string name;
  std::string keySha256;      ///< Lower-case hexadecimal SHA-256 of the client's key.
  double weight = 1;          ///< Its relative share when capacity is short.
  double tokensPerSecond = 0; ///< Rate limit over the whole deployment; zero means no limit.
  double burstTokens = 0;     ///< Bucket size; zero uses AdmissionSettings::burstSeconds.
  int concurrent = 0; ///< Concurrent requests over the whole deployment; zero means no limit.
};

/// Weights of competing goals in decisions for the market. They sum to one.
struct ManifestObjective
{
  double cost = 0.5;
  double recomputedTokens = 0.5;
};

/// The declared state of one market, as read from a valid record. The fields are described in
/// docs/INTERFACES.md.
struct Manifest
{
  std::string market;
  std::string region;
  std::vector<std::string> failureDomains;
  std::vector<ManifestModel> models;
  std::vector<ManifestService> services;
  std::vector<ManifestClass> classes;
  std::vector<ManifestClient> clients;
  std::vector<std::string> machineClasses;
  double priceCeiling = 0;   ///< Per host and hour; zero means no limit.
  bool ordersFenced = false; ///< Whether the endpoints check fencing numbers.
  ManifestObjective objective;

  [[nodiscard]] const ManifestClass* FindClass(std::string_view aName) const;
  [[nodiscard]] const ManifestService* FindService(std::string_view aName) const;

  /// The entry for a name and version; an empty version matches the first entry of that name.
  [[nodiscard]] const ManifestModel* FindModel(std::string_view aName,
                                               std::string_view aVersion) const;
};

} // namespace lagoonward
