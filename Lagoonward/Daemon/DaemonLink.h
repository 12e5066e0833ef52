#pragma once

#include "Lagoonward/Membership/MembershipService.h"

#include <functional>
#include <optional>
#include <string>

namespace lagoonward {

/// What a service of the control thread needs of the other daemons: who they are, requests to them and timers. An
/// interface, so that tests run whole deployments in virtual time and without a network. All methods are called on the
/// control thread or before it starts.
class DaemonLink
{
public:
  virtual ~DaemonLink() = default;

  /// See PeerTransport::OnRequest().
  virtual void OnRequest(RequestType aType, PeerTransport::RequestHandler aHandler) = 0;

  /// See PeerTransport::Request().
  virtual void Request(const PeerAddress& aTo, RequestType aType, std::string aBytes,
                       Milliseconds aTimeout, PeerTransport::ResponseHandler aHandler) = 0;

  /// Latest view of the other daemons.
  [[nodiscard]] virtual PeerViewPtr Peers() const = 0;

  /// Address of a daemon in the latest view, or nothing.
  [[nodiscard]] virtual std::optional<PeerAddress> AddressOf(PeerKey aPeer) const = 0;

  /// Runs a task periodically, the first time after one interval.
  virtual void Every(Milliseconds aInterval, std::function<void()> aTask) = 0;
};

/// The link of a real daemon.
class MembershipLink final : public DaemonLink
{
public:
  /// The membership must outlive it.
  explicit MembershipLink(MembershipService& aMembership);

  void OnRequest(RequestType aType, PeerTransport::RequestHandler aHandler) override;
  void Request(const PeerAddress& aTo, RequestType aType, std::string aBytes, Milliseconds aTimeout,
               PeerTransport::ResponseHandler aHandler) override;
  [[nodiscard]] PeerViewPtr Peers() const override;
  [[nodiscard]] std::optional<PeerAddress> AddressOf(PeerKey aPeer) const override;
  void Every(Milliseconds aInterval, std::function<void()> aTask) override;

private:
  MembershipService& membership;
};

} // namespace lagoonward
