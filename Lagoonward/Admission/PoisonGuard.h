#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoonward {

/// Tunables of the guard against requests that crash endpoints.
struct PoisonSettings
{
  /// From here on all daemons are told, so that whoever saw the request run whole can say so.
  int crashesToSuspect = 2;

  /// From here on it is sent to no endpoint.
  int crashesToPoison = 3;

  /// What a crash counts where the request had given part of its answer: such a one is less likely to be to blame.
  double lateCrash = 0.5;

  /// How long a request stays poisoned. A mended service gets it again after that.
  Milliseconds poisonMemory{ 600'000 };

  /// How long crashes count: once the poison has lapsed, one more brings it back.
  Milliseconds crashMemory{ 1'200'000 };

  /// What ran whole so lately is not blamed for a crash: it was there by chance.
  Milliseconds wholeMemory{ 10'000 };

  /// Endpoints of one failure domain that die this close together die of one event, unless the request was sent to the
  /// second after the end of the first.
  Milliseconds sameEvent{ 1000 };

  /// Notes with less left are not told any more, or daemons would tell them to each other without end.
  Milliseconds noteMargin{ 2000 };

  std::size_t maximumRequests =
    4096; ///< With crashes; those with the fewest go first, then the oldest.
  std::size_t maximumWhole = 4096; ///< That ran whole; the oldest go first.
  std::size_t maximumNotes =
    64; ///< Told at once: poisoned requests first, those that last longest.
};

/// An endpoint was lost while it had a request.
struct CrashReport
{
  std::uint64_t request = 0;  ///< Names what was asked, not its id.
  std::uint64_t endpoint = 0; ///< Names one life of an endpoint.
  std::uint64_t domain = 0;   ///< Hash of its failure domain.
  std::int64_t age = 0;       ///< Milliseconds since then.
  std::int64_t sentAge = 0;   ///< Milliseconds since the request was sent there.
  bool hadBegun = false;      ///< Part of its answer had come.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->request, this->endpoint, this->domain, this->age, this->sentAge, this->hadBegun);
  }
};

/// What is held of a request.
enum class PoisonStanding : std::uint8_t
{
  Suspect,  ///< Endpoints died with it more than once.
  Poisoned, ///< It crashes endpoints.
  Cleared,  ///< It ran whole of late. Goes before the others.
};

/// What daemons tell each other of a request.
struct PoisonNote
{
  std::uint64_t request = 0;
  PoisonStanding standing = PoisonStanding::Suspect;
  std::uint32_t expiresIn = 0; ///< Milliseconds.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->request, this->standing, this->expiresIn);
  }
};

/// Decides when a request is held to crash the endpoints that run it ("poison request", "query of death"), and keeps the
/// fleet's endpoints from it. Each crash is told to the daemons that keep the request's key, which count; what they
/// conclude goes to all daemons with their other news. So the sends that pass after the last crash that is needed are
/// those of one round of news, however many daemons there are. Thread-safe; does no I/O.
///
/// An endpoint that dies takes all that ran there with it, so a crash alone convicts nobody: not the request that ran
/// whole of late, here or elsewhere, not the one whose endpoints went with their failure domain, and not the one that met
/// two crashes by chance.
class PoisonGuard
{
public:
  using Listener = std::function<void(const CrashReport& aReport)>;

  PoisonGuard(const PoisonSettings& aSettings, const Clock& aClock);

  /// Hears of each crash that was seen here and counts, to tell the keepers. Before any other call.
  void OnReport(Listener aListener);

  /// Whether the request must not be sent to any endpoint.
  [[nodiscard]] bool IsPoisoned(std::uint64_t aRequest);

  /// Whether another send could be one crash too many.
  [[nodiscard]] bool IsSuspect(std::uint64_t aRequest);

  /// An endpoint was lost to this daemon while it had a request; its end was not announced.
  void OnCrash(const CrashReport& aReport);

  /// Another daemon has seen a crash, and this one keeps the request's key.
  void OnToldCrash(const CrashReport& aReport);

  /// An endpoint has answered the request whole.
  void OnWhole(std::uint64_t aRequest);

  /// What other daemons are to know.
  [[nodiscard]] std::vector<PoisonNote> Notes();

  /// What another daemon knows.
  void OnNotes(std::span<const PoisonNote> aNotes);

  /// Requests that are poisoned now.
  [[nodiscard]] int Poisoned();

private:
  /// One endpoint's end.
  struct Crash
  {
    std::uint64_t endpoint = 0;
    std::uint64_t domain = 0;
    TimePoint at;
    double weight = 1; ///< What it counts.
  };

  struct Held
  {
    PoisonStanding standing = PoisonStanding::Suspect;
    TimePoint until;
  };

  [[nodiscard]] bool Count(const CrashReport& aReport);
  /// Adds a crash to those of its request, unless it is one of them.
  void Add(std::vector<Crash>& aKnown, const Crash& aCrash, TimePoint aSentAt) const;
  [[nodiscard]] bool RanWhole(std::uint64_t aRequest, TimePoint aNow);
  [[nodiscard]] const Held* Find(std::uint64_t aRequest, TimePoint aNow);
  void Hold(std::uint64_t aRequest, PoisonStanding aStanding, TimePoint aUntil);
  void MakeRoom(TimePoint aNow);

  PoisonSettings settings;
  const Clock& clock;
  Listener listener;
  std::mutex mutex;                                              ///< Guards what follows.
  std::unordered_map<std::uint64_t, std::vector<Crash>> crashes; ///< By request, the oldest first.
  std::unordered_map<std::uint64_t, Held> held;
  std::unordered_map<std::uint64_t, TimePoint> whole; ///< When a request ran whole last.
  std::deque<std::pair<TimePoint, std::uint64_t>> wholeOrder;
};

} // namespace lagoonward
