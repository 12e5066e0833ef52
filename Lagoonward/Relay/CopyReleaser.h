#pragma once

#include "Lagoonward/Relay/RelayMove.h"
#include "Lagoonward/Relay/RelaySettings.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lagoonward {

/// Frees copies of the state of runs that no request will use, and reads the replies to moves whose runs have ended, so that
/// their copies are freed too. Otherwise a copy occupies memory and a slot at its destination until the endpoints' own
/// timeout. Each copy is released by one call; if it fails, that timeout is what remains. Calls and moves in progress are
/// bounded, see RelaySettings. Not thread-safe: used on one TrafficLoop, and by its runs, which it outlives.
class CopyReleaser
{
public:
  /// What has become of the copies so far. All but `released` and `withoutCopy` have a line in the log.
  struct Counts
  {
    std::uint64_t released = 0;    ///< The endpoint confirmed that it has freed the copy.
    std::uint64_t failed = 0;      ///< The call was made, but not confirmed.
    std::uint64_t dropped = 0;     ///< Too many calls were in progress to make another one.
    std::uint64_t withoutCopy = 0; ///< The adopted move made no copy.
    std::uint64_t unknown = 0;     ///< No handle could be read in the reply to an adopted move.
    std::uint64_t cancelled = 0;   ///< Too many moves were adopted to wait for another one.
  };

  /// The references must outlive this object.
  CopyReleaser(TrafficLoop& aLoop, const AnyEndpointDialect& aDialect,
               const RelaySettings& aSettings);
  /// Cancels all calls and adopted moves. If the loop's thread runs, this is called on it.
  ~CopyReleaser();
  CopyReleaser(const CopyReleaser&) = delete;
  CopyReleaser& operator=(const CopyReleaser&) = delete;

  /// Frees a copy by one call.
  /// @param aAddress  `IP:PORT` of the endpoint that gave the handle; called there, it frees the copy at both ends
  void Release(std::string_view aAddress, std::string_view aHandle);

  /// Takes over a move whose run has ended before its reply, and releases the copy that the reply names.
  /// @param aMove     was started and has not ended; its callback is replaced
  /// @param aAddress  `IP:PORT` of the endpoint from which the run was to be moved
  void Adopt(std::unique_ptr<RelayMove> aMove, std::string aAddress);

  [[nodiscard]] const Counts& GetCounts() const { return this->counts; }

private:
  class Call;

  struct AdoptedMove
  {
    std::unique_ptr<RelayMove> move;
    std::string address; ///< Of its source.
  };

  void OnReleaseEnded(std::uint64_t aId, const TransferEnd& aEnd);
  void OnMoveEnded(std::uint64_t aId, const MoveResult& aEnd);

  TrafficLoop& loop;
  const AnyEndpointDialect& dialect;
  const RelaySettings& settings;
  Counts counts;
  std::uint64_t nextId = 1; ///< Of calls and moves.
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls;
  std::unordered_map<std::uint64_t, AdoptedMove> moves;
};

} // namespace lagoonward
