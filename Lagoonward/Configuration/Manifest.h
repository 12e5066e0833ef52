#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Position of a record in a log stream. Also the version of a configuration and the number that
/// fences a lease.
using Offset = std::int64_t;

/// No record yet.
inline constexpr Offset kNoOffset = -1;

/// One adapter of a model and the versions that may be asked for, the preferred one first.
struct ManifestAdapter
{
  std::string name;
  std::vector<std::string> versions;
};

/// One version of a model. The same name may stand in several entries with other versions; a request
/// that names no version gets the first entry.
struct ManifestModel
{
  std::string name;
  std::string version;
  std::vector<ManifestAdapter> adapters;
  int minEndpoints = 1; ///< Endpoints that must serve it after any one failure domain has gone.
};

/// A plain service that the market's callers may use.
struct ManifestService
{
  std::string name;
  bool repeatable = false; ///< Whether a call may be sent twice.
};

/// What the market owes one kind of caller.
struct ManifestClass
{
  std::string name;
  Milliseconds firstToken{ 0 };    ///< Target for the first token.
  Milliseconds betweenTokens{ 0 }; ///< Target between two tokens.
  Milliseconds deadline{ 0 };      ///< Default deadline of a request.
  int priority = 0;                ///< Higher goes first.
};

/// One client account.
struct ManifestClient
{
  std::string name;
  std::string keySha256;      ///< Lower-case hexadecimal SHA-256 of the client's key.
  double weight = 1;          ///< Its share when capacity is short.
  double tokensPerSecond = 0; ///< Limit over the whole deployment; zero means none.
  double burstTokens =
    0;                ///< Tokens it may use at once; zero takes AdmissionSettings::burstSeconds.
  int concurrent = 0; ///< Requests running at once over the whole deployment; zero means none.
};

/// What the market weighs when decisions compete. Sums to one.
struct ManifestObjective
{
  double cost = 0.5;
  double recomputedTokens = 0.5;
};

/// The declared state of one market, as read from a valid record. Field meanings follow
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
  double priceCeiling = 0;   ///< Per host and hour; zero means none.
  bool ordersFenced = false; ///< Whether the endpoints check fencing numbers.
  ManifestObjective objective;

  [[nodiscard]] const ManifestClass* FindClass(std::string_view aName) const;
  [[nodiscard]] const ManifestService* FindService(std::string_view aName) const;

  /// The entry for a name and version; an empty version matches the first entry of that name.
  [[nodiscard]] const ManifestModel* FindModel(std::string_view aName,
                                               std::string_view aVersion) const;
};

} // namespace lagoonward
