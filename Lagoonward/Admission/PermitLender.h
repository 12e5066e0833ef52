#pragma once

#include "Lagoonward/Admission/PermitBook.h"

#include <functional>
#include <string_view>

namespace lagoonward {

/// Requests permits from the owners of an endpoint that advertises a limit.
class PermitLender
{
public:
  virtual ~PermitLender() = default;

  /// Requests a permit to send one request.
  /// @param aAnswered  called once, from any thread; with NotKeeper if no owner replied in time
  virtual void Ask(const PermitRequest& aRequest,
                   std::function<void(const PermitReply& aReply)> aAnswered) = 0;
};

/// Grants permits within the process. For a daemon without peers, which owns all endpoints.
class LocalPermits final : public PermitLender
{
public:
  explicit LocalPermits(const Clock& aClock)
    : ledger({}, aClock)
  {
  }

  void Ask(const PermitRequest& aRequest,
           std::function<void(const PermitReply& aReply)> aAnswered) override
  {
    aAnswered(this->ledger.Serve(aRequest, ReserveRole::Primary, true));
  }

private:
  PermitBook ledger;
};

} // namespace lagoonward
