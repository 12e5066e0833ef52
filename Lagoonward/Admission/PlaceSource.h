#pragma once

#include "Lagoonward/Admission/PlaceLedger.h"

#include <functional>

namespace lagoonward {

/// Asks the owners of brittle endpoints for places.
class PlaceSource
{
public:
  virtual ~PlaceSource() = default;

  /// Asks for a place to send one request.
  /// @param aAnswered  called once, from any thread; with NotOwner if no owner replied in time
  virtual void RequestPlace(const PlaceMessage& aRequest,
                            std::function<void(const PlaceReply& aReply)> aAnswered) = 0;

  /// Tells the owners of a request that is in flight or has ended. Any thread.
  virtual void Notify(const PlaceMessage& aUpdate) = 0;
};

} // namespace lagoonward
