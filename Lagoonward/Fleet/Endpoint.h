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
  Ejected, ///< Failed a new connection after its stream fell silent; probed before it returns.
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
  EndpointKind kind = EndpointKind::Engine;
  std::string address; ///< IP number.
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string region;
  std::string machineClass;
  std::string name; ///< A plain service's name; empty for engines.
  EndpointState state = EndpointState::Live;
  bool reclaimable = true;
  bool movesStreams = false;          ///< Copies the memory of a run to another one on demand.
  int sequences = 0;                  ///< Requests that it runs at once, if it says so; else zero.
  double pricePerHour = 0;            ///< Zero when no price is known.
  std::optional<TimePoint> goneAfter; ///< Last moment at which a leaving host is still promised.
  std::optional<EndpointLoad> load;   ///< Nothing until the first report.
};

} // namespace lagoonward
