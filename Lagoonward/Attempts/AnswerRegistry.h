#pragma once

#include "Lagoonward/Attempts/Answer.h"
#include "Lagoonward/Attempts/AttemptSettings.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace lagoonward {

/// What the registry found for a key.
enum class RegistryOutcome
{
  Created,  ///< The key is new here; the caller's request runs.
  Joined,   ///< A request with this key and body is running or was answered.
  Conflict, ///< The key was used with another body.
};

/// The answer that belongs to a key.
struct RegistryEntry
{
  RegistryOutcome outcome = RegistryOutcome::Created;
  AnswerPtr answer; ///< Null on a conflict.
};

/// Running and finished answers by client and idempotency key, so that a request that is sent again
/// gets the one answer. Finished ones are kept for a time and up to a size. Safe from any thread.
class AnswerRegistry
{
public:
  AnswerRegistry(const AttemptSettings& aSettings, const Clock& aClock);

  /// Joins the answer of that key, or creates one with the factory.
  /// @param aKey       client and key, joined; never empty
  /// @param aBodyHash  hash of all that the request asks for
  [[nodiscard]] RegistryEntry FindOrCreate(const std::string& aKey, std::uint64_t aBodyHash,
                                           const std::function<AnswerPtr()>& aFactory);

  /// The entry of a key, without creating one. Outcome Created with a null answer means: not known.
  [[nodiscard]] RegistryEntry Find(const std::string& aKey, std::uint64_t aBodyHash) const;

  /// The answer has ended. A failure of a request that may run again, or that is proven not to have
  /// run, is forgotten, so that the key can be tried again; all else is kept for its lifetime.
  void OnEnded(const std::string& aKey, bool aIdempotent);

  /// Drops finished answers past their lifetime.
  void RemoveExpired();

  [[nodiscard]] std::size_t Size() const;

private:
  struct Entry
  {
    std::uint64_t bodyHash = 0;
    AnswerPtr answer;
  };

  struct Finished
  {
    std::string key;
    TimePoint expires;
    std::size_t bytes = 0;
  };

  void RemoveOldestLocked();

  AttemptSettings settings;
  const Clock& clock;
  mutable std::mutex mutex; ///< Guards all below.
  std::unordered_map<std::string, Entry> entries;
  std::deque<Finished> finished; ///< In the order in which they ended.
  std::size_t finishedBytes = 0;
};

} // namespace lagoonward
