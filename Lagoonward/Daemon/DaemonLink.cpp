#include "Lagoonward/Daemon/DaemonLink.h"

#include <utility>

namespace lagoonward {

MembershipLink::MembershipLink(MembershipService& aMembership)
  : membership(aMembership)
{
}

void
MembershipLink::OnRequest(RequestType aType, PeerTransport::RequestHandler aHandler)
{
  this->membership.Transport().OnRequest(aType, std::move(aHandler));
}

void
MembershipLink::Request(const PeerAddress& aTo, RequestType aType, std::string aBytes,
                        Milliseconds aTimeout, PeerTransport::ResponseHandler aHandler)
{
  this->membership.Transport().Request(aTo, aType, std::move(aBytes), aTimeout,
                                       std::move(aHandler));
}

PeerViewPtr
MembershipLink::Peers() const
{
  return this->membership.Peers();
}

std::optional<PeerAddress>
MembershipLink::AddressOf(PeerKey aPeer) const
{
  return this->membership.AddressOf(aPeer);
}

void
MembershipLink::Every(Milliseconds aInterval, std::function<void()> aTask)
{
  this->membership.Loop().Every(aInterval, std::move(aTask));
}

} // namespace lagoonward
