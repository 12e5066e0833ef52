#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// The kind of server at an endpoint.
enum class EndpointKind
{
  Engine,  ///< A model engine.
  Service, ///< A plain service.
};

/// Whether an endpoint accepts requests.
enum class EndpointState
{
  Live,    ///< Accepts new requests.
  Leaving, ///< Will terminate; its requests finish or are moved, it gets no new ones.
  Ejected, ///< Gets no new requests for now: a connection failed or its entry is unreadable.
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

/// The load that an engine reported, as of `asOf`.
struct EndpointLoad
{
  int waiting = 0;
  int running = 0;
  std::int64_t kvBlocksUsed = 0;
  std::int64_t kvBlocksTotal = 0;
  std::vector<LoadedModel> models;
  std::string role;
  WallTime asOf; ///< When the engine measured the load.
};

/// The state of one endpoint as known to this daemon.
struct Endpoint
{
  std::string id; ///< Id of the host in the host list.
  /// Unix time of its start in milliseconds, which identifies one instance of the id; zero if not reported. A later
  /// instance has no state of an earlier one.
  std::int64_t incarnation = 0;
  EndpointKind kind = EndpointKind::Engine;
  std::string address; ///< IP address.
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string region;
  std::string machineClass;
  std::string name; ///< A plain service's name; empty for engines.
  /// Version of the software that it runs, not of the weights; without an order. Streams of two versions do not fit
  /// together.
  std::string softwareVersion;
  EndpointState state = EndpointState::Live;
  bool reclaimable = true;
  bool movesStreams = false; ///< Can copy the KV cache of a run to another endpoint on request.
  double fetchSecondsPerToken = 0; ///< To fetch a prompt token cached elsewhere; zero if it cannot.
  int sequences = 0;               ///< Requests that it can run concurrently; zero if not reported.
  double pricePerHour = 0;         ///< Zero if no price is known.
  std::optional<TimePoint>
    availableUntil;                 ///< Time until which a leaving host is guaranteed to run.
  std::optional<EndpointLoad> load; ///< Empty until the first report.
};

/// The key of one instance of an endpoint in all tables, so that cached prompts, requests in flight and failures of
/// one instance are not attributed to another.
[[nodiscard]] std::uint64_t
EndpointKeyOf(const Endpoint& aEndpoint);

} // namespace lagoonward
