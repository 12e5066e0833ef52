#include "Lagoonward/Daemon/RelayDaemon.h"

#include <algorithm>
#include <charconv>

// Part of RelayDaemon: requests of callers, its own and those that other daemons forward.

namespace lagoonward {

namespace {

const Log kLog("daemon");

/// Retry-after for a caller that a draining daemon rejects; another daemon can serve it at once.
constexpr Milliseconds kDrainRetryAfter{ 50 };

} // namespace

void
RelayDaemon::HandleCall(HttpRequest aRequest, const HttpExchangePtr& aExchange)
{
  auto caller = std::make_unique<HttpRelayCaller>(aExchange, this->ports.callers.writeError);
  this->Serve(std::move(aRequest), std::move(caller), this->TargetsIfPathIsLost());
}

void
RelayDaemon::Serve(HttpRequest aRequest, std::unique_ptr<RelayCaller> aCaller,
                   std::vector<ForwardTarget> aTargets)
{
  if (this->rejectsRequests) {
    // The end of the grace period could cut off a request that is accepted now
    aCaller->SendError(Error(ErrorKind::Draining, "This daemon is draining; retry at another one.")
                         .WithRetryAfter(kDrainRetryAfter));
    return;
  }
  ForwardRequest forward;
  forward.targets = std::move(aTargets);
  if (!forward.targets.empty()) {
    forward.request = aRequest;
  }
  auto call = this->ports.callers.read(std::move(aRequest));
  if (!call) {
    kLog.Event("refused", { { "kind", GetErrorRule(call.error().kind).name },
                            { "reason", call.error().message } });
    aCaller->SendError(call.error());
    return;
  }
  if (forward.targets.empty()) {
    this->relay->Submit(std::move(call.value()), std::move(aCaller));
    return;
  }
  forward.id = call.value().id;
  forward.route = call.value().route;
  forward.receivedAt = call.value().receivedAt;
  forward.deadline = call.value().EffectiveDeadline();
  this->relay->Forward(std::move(forward), std::move(aCaller));
}

ForwardState
RelayDaemon::OwnForwardState() const
{
  ForwardState state;
  state.accepts = this->forwardServer != nullptr && this->IsReady() && !this->relay->HasLostPath();
  // The listener has no port before all servers have been started
  if (!state.accepts) {
    return state;
  }
  state.address = fmt::format("{}:{}", this->settings.forward.address, this->forwardServer->Port());
  state.token = this->forwardToken;
  state.openRequests = static_cast<std::uint32_t>(std::max(this->OpenExchanges(), 0));
  return state;
}

std::vector<ForwardTarget>
RelayDaemon::TargetsIfPathIsLost()
{
  return this->relay->HasLostPath() ? this->forwardExchange->Targets()
                                    : std::vector<ForwardTarget>();
}

void
RelayDaemon::HandleForwardedCall(HttpRequest aRequest, const HttpExchangePtr& aExchange)
{
  auto caller = std::make_unique<HttpRelayCaller>(aExchange, this->ports.callers.writeError);
  const std::string_view forwarded = aRequest.Header(kForwardedHeader);
  const std::size_t space = forwarded.find(' ');
  if (space == std::string_view::npos || forwarded.substr(0, space) != this->forwardToken) {
    caller->SendError(Error(ErrorKind::Unauthorized,
                            "The request does not come from a daemon that knows this one."));
    return;
  }
  std::int64_t age = 0;
  std::from_chars(forwarded.data() + space + 1, forwarded.data() + forwarded.size(), age);
  aRequest.age = Milliseconds(std::max<std::int64_t>(age, 0));
  // Never forwarded again, so that requests cannot circulate
  this->Serve(std::move(aRequest), std::move(caller), {});
}

} // namespace lagoonward
