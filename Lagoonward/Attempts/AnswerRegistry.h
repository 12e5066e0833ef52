#pragma once

#include "Lagoonward/Attempts/Answer.h"
#include "Lagoonward/Attempts/AttemptSettings.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace lagoonward {

/// Result of a lookup by key.
enum class RegistryOutcome
{
  Created,  ///< The key is new; the caller's request is run.
  Joined,   ///< A request with this key and body is running or has finished.
  Conflict, ///< The key was used with a different body.
};

/// The answer of a key.
struct RegistryEntry
{
  RegistryOutcome outcome = RegistryOutcome::Created;
  AnswerPtr answer; ///< Null on a conflict, or if Find() found no entry.
};

/// Running and finished answers by client and idempotency key, so that a repeated request gets the same answer.
/// Finished answers are stored for a limited time and up to a limit of memory. Thread-safe.
class AnswerRegistry
{
public:
  AnswerRegistry(const AttemptSettings& aSettings, const Clock& aClock);

  /// Returns the answer of the key, or creates one with the factory.
  /// @param aKey       CallTerms::RegistryKey(); never empty
  /// @param aBodyHash  hash of everything the request asks for
  [[nodiscard]] RegistryEntry FindOrCreate(const std::string& aKey, std::uint64_t aBodyHash,
                                           const std::function<AnswerPtr()>& aFactory);

  /// Returns the entry of a key without creating one. Outcome Created with a null answer means that the key is unknown.
  [[nodiscard]] RegistryEntry Find(const std::string& aKey, std::uint64_t aBodyHash) const;

  /// Handles the end of an answer. The failure of a request that is idempotent, or that is proven not to have run, is
  /// removed, so that the key can be used again; any other answer is stored for its lifetime.
  void OnEnded(const std::string& aKey, bool aIdempotent);

  /// Removes finished answers whose lifetime has expired.
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
  std::deque<Finished> finished; ///< In the order of their ends.
  std::size_t finishedBytes = 0;
};

} // namespace lagoonward
