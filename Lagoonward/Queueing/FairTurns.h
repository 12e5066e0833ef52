#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace lagoonward {

/// Order of requests that is fair to client accounts by their work: start-time fair queueing (Goyal, Vin, Cheng, 1996).
/// Each request has a start tag, and the lowest tag comes first. An account that asks for less than its share is served
/// before one that asks for more; what nobody else wants goes to whoever asks. Performs no I/O. Not thread-safe.
class FairTurns
{
public:
  /// @param aMaximumAccounts  accounts that are recorded; further ones are all served as new ones
  explicit FairTurns(std::size_t aMaximumAccounts);

  /// The start tag of a new request.
  /// @param aWork    work of the request, positive
  /// @param aWeight  weight of the account, positive
  [[nodiscard]] double OnArrived(std::uint64_t aAccount, double aWork, double aWeight);

  /// A request with that tag has been served.
  void OnServed(double aTag);

  /// A request has left without being served: its account gets the turn back.
  void OnLeft(std::uint64_t aAccount, double aWork, double aWeight);

  [[nodiscard]] std::size_t Accounts() const { return this->finishTags.size(); }

private:
  void ForgetIdleAccounts();

  std::size_t maximumAccounts;
  double virtualTime = 0;                               ///< Tag of the request served last.
  std::unordered_map<std::uint64_t, double> finishTags; ///< Of the last request of each account.
};

} // namespace lagoonward
