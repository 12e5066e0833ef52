#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <mutex>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Settings of BrittleServices.
struct BrittleServiceSettings
{
  /// A service counts as brittle for this long after the newest answer that says so. Longer than the time between two
  /// answers of a service in use, and than the way of a report to all daemons.
  Milliseconds retention{ 5000 };
  std::size_t maximumServices = 1024; ///< Further services are not recorded.
};

/// What one daemon reports to others about a brittle service.
struct BrittleReport
{
  std::uint64_t service = 0; ///< Hash of its name.
  std::uint32_t age = 0;     ///< Milliseconds since the newest answer that says so.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->service, this->age);
  }
};

/// Services whose endpoints say in their answers that they crash when they have to reject too many requests. One answer
/// stands for all endpoints of the service. Thread-safe; performs no I/O.
class BrittleServices
{
public:
  BrittleServices(const BrittleServiceSettings& aSettings, const Clock& aClock);

  /// Handles an answer in which an endpoint says that it is brittle.
  /// @param aTolerated  rejections in a second that do it no harm; for the log only, as none is risked
  void OnBrittleAnswer(std::string_view aService, std::string_view aEndpoint, double aTolerated);

  /// Handles an answer in which an endpoint does not say so. It has no effect if the request was sent before the
  /// newest answer that says so, as answers may overtake each other.
  void OnSoundAnswer(std::string_view aService, std::string_view aEndpoint, TimePoint aSentAt);

  /// Handles an answer whose statement cannot be parsed: what was said before still holds.
  void OnMalformedAnswer(std::string_view aEndpoint);

  [[nodiscard]] bool IsBrittle(std::string_view aService);

  /// Number of services that are brittle now.
  [[nodiscard]] int Count();

  /// What to send to other daemons.
  [[nodiscard]] std::vector<BrittleReport> Reports();

  /// Applies the reports of another daemon.
  void OnReports(std::span<const BrittleReport> aReports);

private:
  /// When the newest answer that says so arrived, by endpoint; see kOtherDaemons.
  using AnswerTimes = std::unordered_map<std::uint64_t, TimePoint>;

  [[nodiscard]] AnswerTimes* FindOrCreate(std::uint64_t aService);
  void Expire();

  BrittleServiceSettings settings;
  const Clock& clock;
  std::mutex mutex;                                        ///< Guards all below.
  std::unordered_map<std::uint64_t, AnswerTimes> services; ///< By hash of the name.
  bool isMalformedLogged = false;
};

} // namespace lagoonward
