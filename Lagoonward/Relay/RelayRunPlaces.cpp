#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Relay/RelayRun.h"

#include <algorithm>
#include <utility>

// Part of RelayRun: places at brittle endpoints.

namespace lagoonward {

PlaceUse
RelayRun::MakePlaceUse(const Endpoint& aEndpoint) const
{
  PlaceUse use;
  use.service = this->call.service;
  use.endpoint = HashBytes(aEndpoint.id);
  use.places = static_cast<std::uint32_t>(std::max(aEndpoint.sequences, 1));
  use.endsBy = this->call.EffectiveDeadline();
  return use;
}

Milliseconds
RelayRun::PlaceBudget() const
{
  const auto left = std::chrono::floor<Milliseconds>(
    this->endpointWaitSince + this->EndpointWaitLimit() - this->context.loop.GetClock().Now());
  return std::max(left, Milliseconds(0));
}

void
RelayRun::RequestPlace(RouteChoice aChoice)
{
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const Endpoint* endpoint = fleet->Find(aChoice.Target().id);
  if (endpoint == nullptr) {
    this->WaitForEndpoint(
      Error(ErrorKind::NoEndpoint, "The selected endpoint is no longer in the endpoint list."));
    return;
  }
  const RelaySettings& settings = this->context.settings;
  const Milliseconds budget = this->PlaceBudget();
  const bool probes = this->placeRequests < settings.placeProbes;
  const Milliseconds wait = probes ? Milliseconds(0) : std::min(settings.placeQueueTime, budget);
  ++this->placeRequests;
  const PlaceUse use = this->MakePlaceUse(*endpoint);
  this->AskForPlace(
    use, wait, budget,
    [this, choice = std::move(aChoice), budget](PlaceHold aPlace, const PlaceReply& aReply) {
      this->OnPlaceReply(choice, std::move(aPlace), aReply, budget);
    });
}

void
RelayRun::AskForPlace(const PlaceUse& aUse, Milliseconds aWait, Milliseconds aBudget,
                      std::function<void(PlaceHold aPlace, const PlaceReply& aReply)> aOnReply)
{
  PlaceRegistry& places = this->context.places;
  PlaceSource& source = *this->context.placeSource;
  const TimePoint now = this->context.loop.GetClock().Now();
  PlaceMessage request = places.MakeRequest(aUse);
  request.waitMs = static_cast<std::uint32_t>(aWait.count());
  request.budgetMs = static_cast<std::uint32_t>(aBudget.count());
  request.ageMs = static_cast<std::uint32_t>(std::max<std::int64_t>(
    std::chrono::floor<Milliseconds>(now - this->call.receivedAt).count(), 0));
  request.priority = this->call.priority;
  request.account = HashBytes(this->call.account);
  const auto onReply = [this, aliveToken = std::weak_ptr(this->aliveToken), &places, &source, aUse,
                        lease = request.lease,
                        handle = std::move(aOnReply)](const PlaceReply& aReply) {
    PlaceHold granted;
    if (aReply.answer == PlaceAnswer::Granted) {
      granted = PlaceHold(places, source, aUse, lease);
    }
    if (aliveToken.expired() || this->ended) {
      granted.End(PlaceAction::Release);
      return;
    }
    handle(std::move(granted), aReply);
  };
  source.RequestPlace(request, [&loop = this->context.loop, onReply](const PlaceReply& aReply) {
    loop.Post([onReply, aReply] { onReply(aReply); });
  });
}

void
RelayRun::OnPlaceReply(const RouteChoice& aChoice, PlaceHold aPlace, const PlaceReply& aReply,
                       Milliseconds aBudget)
{
  if (aReply.answer == PlaceAnswer::Granted) {
    this->place = std::move(aPlace);
    this->RequestPermitOrBegin(aChoice);
    return;
  }
  const RelaySettings& settings = this->context.settings;
  this->fullEndpoints.push_back(aChoice.Target().id);
  if (aReply.answer == PlaceAnswer::NotOwner) {
    this->context.places.Block(aChoice.Target().id, settings.placeNoReplyBlockTime);
  }
  const Milliseconds retryAfter(aReply.retryAfterMs);
  this->placeRefusals += retryAfter > aBudget ? 1 : 0;
  const bool isOutOfTime =
    this->PlaceBudget() <= Milliseconds(0) && this->placeRequests >= settings.placeProbes;
  if (this->placeRefusals < settings.placeRefusals && !isOutOfTime) {
    this->Dispatch();
    return;
  }
  if (this->mayHaveRun) {
    this->Fail(Error(ErrorKind::EndpointFailed, this->lastReason, Ran::Unknown));
    return;
  }
  this->Fail(Error(ErrorKind::Overloaded, "No endpoint has a free place in time.", Ran::No)
               .WithRetryAfter(std::max(retryAfter, settings.retryAfterFloor)));
}

} // namespace lagoonward
