#include "Lagoonward/Wire/ResetOnClose.h"

#include <sys/socket.h>

#include <utility>

namespace lagoonward {

namespace {

/// Sets whether close() resets the connection. Fails only for a socket whose connection has ended.
void
SetResetsOnClose(int aDescriptor, bool aResets)
{
  linger option{};
  option.l_onoff = aResets ? 1 : 0;
  static_cast<void>(::setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option)));
}

} // namespace

ResetOnClose::ResetOnClose(int aDescriptor)
  : descriptor(aDescriptor)
{
  SetResetsOnClose(this->descriptor, true);
}

void
ResetOnClose::Reset()
{
  if (this->isReleased) {
    return;
  }
  // connect(2): an address of no family dissolves the association, which resets the connection
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  static_cast<void>(::connect(this->descriptor, &none, sizeof(none)));
}

void
ResetOnClose::Release()
{
  if (!std::exchange(this->isReleased, true)) {
    SetResetsOnClose(this->descriptor, false);
  }
}

} // namespace lagoonward
