#pragma once

#include "Lagoonward/Admission/PlaceSource.h"

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// One request of this daemon that is in flight at an endpoint.
struct PlaceUse
{
  std::string service;
  std::uint64_t endpoint = 0; ///< Hash of its id.
  std::uint32_t places = 0;   ///< Requests that the endpoint runs at once.
  TimePoint endsBy;           ///< The request has ended then.
};

/// All requests that this daemon has in flight at endpoints, so that it can tell the owners of an endpoint of them, and
/// the endpoints that have no free place for now. Thread-safe; performs no I/O.
class PlaceRegistry
{
public:
  explicit PlaceRegistry(const Clock& aClock);

  /// Sets the number that identifies this daemon process to others. Must be called before any other method.
  void SetRun(std::uint64_t aRun) { this->run = aRun; }

  /// Message that asks for a place, with a new lease.
  [[nodiscard]] PlaceMessage MakeRequest(const PlaceUse& aUse);

  /// A request is being sent. Returns its lease.
  /// @param aGranted  the lease under which an owner has granted a place; zero for none
  [[nodiscard]] std::uint64_t Begin(const PlaceUse& aUse, std::uint64_t aGranted);

  /// A request has ended.
  /// @return the message for the owners, if they know of it
  [[nodiscard]] std::optional<PlaceMessage> End(std::uint64_t aLease, PlaceAction aAction);

  /// Messages that declare the requests in flight of which the owners do not know, or all that they have been told of if
  /// the owners have changed.
  /// @param aIsBrittle  whether a service's endpoints are brittle
  [[nodiscard]] std::vector<PlaceMessage> Declarations(
    const std::function<bool(std::string_view aService)>& aIsBrittle, bool aHaveOwnersChanged);

  /// Whether the request is in flight.
  [[nodiscard]] bool Contains(std::uint64_t aLease);

  /// Excludes an endpoint without a free place for a time.
  void Block(std::string_view aEndpoint, Milliseconds aTime);
  [[nodiscard]] std::vector<std::string> BlockedEndpoints();

private:
  struct Entry
  {
    PlaceUse use;
    bool isDeclared = false; ///< The owners know of it.
  };

  [[nodiscard]] PlaceMessage MakeMessage(const PlaceUse& aUse, std::uint64_t aLease,
                                         PlaceAction aAction) const;

  const Clock& clock;
  std::uint64_t run = 1;
  std::mutex mutex; ///< Guards all below.
  std::uint64_t nextLease = 1;
  std::unordered_map<std::uint64_t, Entry> entries; ///< By lease.
  std::unordered_map<std::string, TimePoint> blockedUntil;
};

/// A request in flight at an endpoint, from before it is sent to its end. Ends as abandoned if it is destroyed earlier.
/// Movable, not copyable.
class PlaceHold
{
public:
  PlaceHold() = default;

  /// References must outlive it.
  /// @param aGranted  see PlaceRegistry::Begin()
  PlaceHold(PlaceRegistry& aRegistry, PlaceSource& aSource, const PlaceUse& aUse,
            std::uint64_t aGranted);
  PlaceHold(PlaceHold&& aOther) noexcept;
  PlaceHold& operator=(PlaceHold&& aOther) noexcept;
  PlaceHold(const PlaceHold&) = delete;
  PlaceHold& operator=(const PlaceHold&) = delete;
  ~PlaceHold();

  /// Ends the request. Later calls have no effect.
  void End(PlaceAction aAction);

  /// Whether a request is in flight.
  [[nodiscard]] bool IsHeld() const { return this->registry != nullptr; }

private:
  PlaceRegistry* registry = nullptr; ///< Null once it has ended.
  PlaceSource* source = nullptr;
  std::uint64_t lease = 0;
};

} // namespace lagoonward
