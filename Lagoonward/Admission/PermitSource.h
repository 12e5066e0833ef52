#pragma once

#include "Lagoonward/Admission/PermitLedger.h"

#include <functional>
#include <string_view>

namespace lagoonward {

/// Requests permits from the owners of an endpoint that advertises a limit.
class PermitSource
{
public:
  virtual ~PermitSource() = default;

  /// Requests a permit to send one request.
  /// @param aAnswered  called once, from any thread; with NotOwner if no owner replied in time
  virtual void RequestPermit(const PermitRequest& aRequest,
                             std::function<void(const PermitReply& aReply)> aAnswered) = 0;
};

/// Grants permits within the process. For a daemon without peers, which owns all endpoints.
class LocalPermitSource final : public PermitSource
{
public:
  explicit LocalPermitSource(const Clock& aClock)
    : ledger({}, aClock)
  {
  }

  void RequestPermit(const PermitRequest& aRequest,
                     std::function<void(const PermitReply& aReply)> aAnswered) override
  {
    aAnswered(this->ledger.Serve(aRequest, ReserveRole::Primary, true));
  }

private:
  PermitLedger ledger;
};

} // namespace lagoonward
