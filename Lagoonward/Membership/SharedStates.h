#pragma once

#include "Lagoonward/Membership/Messages.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Latest version of each shared state, by topic, and the content of a few versions before. Versions only increase.
/// Performs no I/O. Not thread-safe.
class SharedStates
{
public:
  /// Returns whether a state from a peer is well-formed and is applied.
  using Validator = std::function<bool(const SharedState& aState)>;

  /// Sets the validator of states received from peers. Without one every state is accepted.
  void SetValidator(Validator aValidator);

  /// Stores a state that this daemon has read from its source. @return whether it was newer
  bool Publish(SharedState aState);

  /// Stores a state received from a peer. @return whether it was newer and valid
  bool Adopt(SharedState aState);

  /// Whether an announcement names a version newer than the stored one.
  [[nodiscard]] bool IsNewer(const VersionAnnouncement& aAnnouncement) const;

  /// The state of a topic, or nullptr.
  [[nodiscard]] const SharedState* Find(std::uint64_t aTopic) const;

  /// Identifies the stored content of a topic; empty if there is none.
  [[nodiscard]] StateVersion VersionOf(std::uint64_t aTopic) const;

  /// The content of a topic's stored or retained version, or nullptr.
  [[nodiscard]] const std::string* FindBytes(std::uint64_t aTopic,
                                             const StateVersion& aVersion) const;

  /// The versions of all topics.
  /// @param aWithRegional  whether to include topics that are not sent to other regions
  [[nodiscard]] std::vector<VersionAnnouncement> VersionAnnouncements(bool aWithRegional) const;

  /// Digest of the versions. Equal on daemons that have the same ones.
  [[nodiscard]] std::uint64_t Digest(bool aWithRegional) const;

private:
  /// Content of a version before the latest.
  struct RetainedVersion
  {
    StateVersion version;
    std::string bytes;
  };

  struct StoredState
  {
    SharedState latest;
    StateVersion version;                  ///< Of the latest.
    std::vector<RetainedVersion> retained; ///< Oldest first.
  };

  [[nodiscard]] bool Store(SharedState aState);

  Validator validator;
  std::unordered_map<std::uint64_t, StoredState> states; ///< By topic.
  std::uint64_t globalDigest = 0;
  std::uint64_t regionalDigest = 0;
};

} // namespace lagoonward
