#pragma once

namespace lagoonward {

/// Makes a TCP connection end with a reset (RST) instead of an orderly close (FIN), until Release() is called. For a
/// response that has neither a length nor chunks: its caller takes an orderly close for the end of the whole response
/// (RFC 9112, section 6.3), so one that is cut off has to end otherwise. That also holds if the process is killed, as the
/// kernel then closes its sockets. Does not own the descriptor, which must be open at each call. Linux only. Not
/// thread-safe.
class ResetOnClose
{
public:
  /// @param aDescriptor  of a connected TCP socket
  explicit ResetOnClose(int aDescriptor);

  /// Resets the connection now, as a shutdown() before the close would end it in an orderly way. Discards what the kernel
  /// has not sent. The descriptor stays open. Does nothing after Release().
  void Reset();

  /// The response is complete: from now on the connection is closed in an orderly way, after what the kernel has not sent.
  void Release();

private:
  int descriptor;
  bool isReleased = false;
};

} // namespace lagoonward
