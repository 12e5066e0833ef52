#pragma once

#include "Lagoonward/Admission/PlaceSource.h"
#include "Lagoonward/Wire/TrafficLoop.h"

namespace lagoonward {

/// Gives out places within the process, on its traffic loop. For a daemon without peers, which owns all endpoints.
class LocalPlaceSource final : public PlaceSource
{
public:
  /// The loop must outlive it.
  explicit LocalPlaceSource(TrafficLoop& aLoop);

  void RequestPlace(const PlaceMessage& aRequest,
                    std::function<void(const PlaceReply& aReply)> aAnswered) override;
  void Notify(const PlaceMessage& aUpdate) override;

private:
  TrafficLoop& loop;
  PlaceLedger ledger; ///< Accessed on the loop only.
};

} // namespace lagoonward
