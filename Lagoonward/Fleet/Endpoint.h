#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// What stands behind an endpoint.
enum class EndpointKind
{
  Engine,  ///< A model engine.
  Service, ///< A plain service.
};

/// Whether an endpoint may get work.
enum class EndpointState
{
  Live,    ///< Takes new work.
  Leaving, ///< Announced to go; finishes or moves what it has, takes nothing new.
  Ejected, ///< Gets nothing new for now, as it failed a new connection or its entry cannot be read.
};

/// An adapter that an engine has loaded.
struct LoadedAdapter
{
  std::string name;
  std::string version;
};

/// A model that an engine has loaded.
struct LoadedModel
{
  std::string name;
  std::string version;
  std::vector<LoadedAdapter> adapters;
};

/// An engine's own report of its load, as of a moment in the past.
struct EndpointLoad
{
  int waiting = 0;
  int running = 0;
  std::int64_t kvBlocksUsed = 0;
  std::int64_t kvBlocksTotal = 0;
  std::vector<LoadedModel> models;
  std::string role;
  WallTime asOf; ///< When the engine took the reading.
};

/// One endpoint as this daemon currently knows it.
struct Endpoint
{
  std::string id; ///< The host list's id of the host.
  /// Unix time of its start in milliseconds, which names one life of the id; zero where it is not told. A later life
  /// holds and knows nothing of an earlier one.
  std::int64_t born = 0;
  EndpointKind kind = EndpointKind::Engine;
  std::string address; ///< IP number.
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string region;
  std::string machineClass;
  std::string name; ///< A plain service's name; empty for engines.
  EndpointState state = EndpointState::Live;
  bool reclaimable = true;
  bool movesStreams = false; ///< Copies the memory of a run to another one on demand.
  double fetchSecondsPerToken =
    0;               ///< Time to fetch a kept prompt token from another one; zero if it cannot.
  int sequences = 0; ///< Requests that it runs at once, if it says so; else zero.
  double pricePerHour = 0;            ///< Zero when no price is known.
  std::optional<TimePoint> goneAfter; ///< Last moment at which a leaving host is still promised.
  std::optional<EndpointLoad> load;   ///< Nothing until the first report.
};

/// Names one life of an endpoint across all tables, so that nothing that is known of one life is taken for
/// another's: cached prompts, requests in flight, failures.
[[nodiscard]] std::uint64_t
EndpointKeyOf(const Endpoint& aEndpoint);

} // namespace lagoonward
