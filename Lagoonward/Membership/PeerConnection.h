#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/UniqueFd.h"
#include "Lagoonward/Membership/FrameCodec.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"

#include <functional>
#include <string>
#include <vector>

namespace lagoonward {

/// One TCP connection between two daemons: non-blocking, length-prefixed frames, each with a tag
/// bound to a nonce that the accepting side draws, to the direction and to the frame's number. A
/// recorded connection therefore cannot be played again, and frames cannot be reordered.
class PeerConnection
{
public:
  /// Which end this is.
  enum class Side
  {
    Connecting,
    Accepting,
  };

  /// @param aNonce  drawn by the accepting side; empty on the connecting one until it arrives
  PeerConnection(UniqueFd aSocket, Side aSide, const KeyRing& aKeys,
                 const PeerTransportSettings& aSettings, TimePoint aNow, std::string aNonce);

  /// Queues a frame. @return false when too much is queued already: the peer is too slow
  [[nodiscard]] bool Queue(const Frame& aFrame, TimePoint aNow);

  /// Reads what has arrived. @return false when the connection must be closed
  [[nodiscard]] bool Read(TimePoint aNow, std::vector<Frame>& aFrames);

  /// Writes what can be written. @return false when the connection must be closed
  [[nodiscard]] bool Write();

  /// Whether it sat idle, or a frame has been incomplete, for too long.
  [[nodiscard]] bool IsExpired(TimePoint aNow) const;

  /// Whether the other end has been heard: nothing queued before that can have been carried out.
  [[nodiscard]] bool IsOpen() const;

  /// Whether bytes wait for the socket.
  [[nodiscard]] bool WantsToWrite() const;

  [[nodiscard]] int Descriptor() const;

  /// Bytes moved since the last call, with an estimate for the headers of each write.
  [[nodiscard]] std::uint64_t TakeSentBytes();
  [[nodiscard]] std::uint64_t TakeReceivedBytes();

private:
  [[nodiscard]] bool HasNonce() const;
  [[nodiscard]] bool TakeNonce();
  [[nodiscard]] std::size_t FrameLimit() const;
  /// Seals the next frame, behind an opening one where it is the first and large.
  void SealNext(const Frame& aFrame);
  void Seal(const Frame& aFrame);
  [[nodiscard]] bool TakeFrames(std::vector<Frame>& aFrames);

  UniqueFd socket;
  Side side;
  const KeyRing& keys;
  const PeerTransportSettings& settings;
  std::string nonce;
  std::vector<Frame> waiting; ///< Queued before the nonce was known.
  std::string incoming;
  std::string outgoing;
  std::uint64_t framesSent = 0;
  std::uint64_t framesReceived = 0;
  std::size_t written = 0; ///< Bytes of `outgoing` that the socket has taken.
  TimePoint lastActive;
  TimePoint partialSince; ///< When the wait for the next complete frame began.
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
};

} // namespace lagoonward
