#include "Lagoonward/Relay/LocalPlaceSource.h"

#include <utility>

namespace lagoonward {

LocalPlaceSource::LocalPlaceSource(TrafficLoop& aLoop)
  : loop(aLoop)
  , ledger({}, aLoop.GetClock())
{
}

void
LocalPlaceSource::RequestPlace(const PlaceMessage& aRequest,
                               std::function<void(const PlaceReply& aReply)> aAnswered)
{
  this->loop.Post([this, request = aRequest, answered = std::move(aAnswered)] {
    this->ledger.Handle(request, ReserveRole::Primary, true, answered);
    if (request.waitMs > 0) {
      this->loop.RunAfter(Milliseconds(request.waitMs), [this] { this->ledger.Expire(); });
    }
  });
}

void
LocalPlaceSource::Notify(const PlaceMessage& aUpdate)
{
  this->loop.Post([this, update = aUpdate] {
    this->ledger.Handle(update, ReserveRole::Primary, true, [](const PlaceReply&) {});
  });
}

} // namespace lagoonward
