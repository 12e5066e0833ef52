#pragma once

#include "Lagoonward/Admission/PermitBook.h"

#include <functional>
#include <string_view>

namespace lagoonward {

/// Asks the keepers of an endpoint that names a limit whether a request may be sent there.
class PermitLender
{
public:
  virtual ~PermitLender() = default;

  /// @param aAnswered  called once, from any thread; NotKeeper where nobody answered in time
  virtual void Ask(const PermitRequest& aRequest,
                   std::function<void(const PermitReply& aReply)> aAnswered) = 0;
};

/// For a daemon without others: it keeps all endpoints.
class LocalPermits final : public PermitLender
{
public:
  explicit LocalPermits(const Clock& aClock)
    : book({}, aClock)
  {
  }

  void Ask(const PermitRequest& aRequest,
           std::function<void(const PermitReply& aReply)> aAnswered) override
  {
    aAnswered(this->book.Serve(aRequest, ReserveRole::Primary, true));
  }

private:
  PermitBook book;
};

} // namespace lagoonward
