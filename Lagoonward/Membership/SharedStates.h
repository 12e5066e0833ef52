#pragma once

#include "Lagoonward/Membership/Messages.h"

#include <functional>
#include <unordered_map>

namespace lagoonward {

/// Newest version of each shared state. Versions only rise. Pure.
class SharedStates
{
public:
  /// Whether a state from a peer is well-formed and is to be put in force.
  using Validator = std::function<bool(const SharedState& aState)>;

  /// Checks states that peers bring. Without one every state is taken.
  void SetValidator(Validator aValidator);

  /// Takes a state that this daemon has read itself. @return whether it was newer
  bool Publish(SharedState aState);

  /// Takes a state that a peer brought. @return whether it was newer and valid
  bool Adopt(SharedState aState);

  /// Whether a note names a version newer than the one here.
  [[nodiscard]] bool IsNews(const VersionNote& aNote) const;

  /// The state of a topic, or nullptr.
  [[nodiscard]] const SharedState* Find(std::uint64_t aTopic) const;

  /// The versions of all topics.
  /// @param aWithRegional  whether those that stay within the region are among them
  [[nodiscard]] std::vector<VersionNote> Notes(bool aWithRegional) const;

  /// The same on two daemons that have the same versions.
  [[nodiscard]] std::uint64_t Digest(bool aWithRegional) const;

private:
  [[nodiscard]] bool Store(SharedState aState);

  Validator validator;
  std::unordered_map<std::uint64_t, SharedState> states; ///< By topic.
  std::uint64_t globalDigest = 0;
  std::uint64_t regionalDigest = 0;
};

} // namespace lagoonward
