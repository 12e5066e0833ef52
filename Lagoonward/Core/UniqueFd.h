#pragma once

#include <cstddef>

namespace lagoonward {

/// Owns one file descriptor and closes it when it goes out of scope.
class UniqueFd
{
public:
  UniqueFd() = default;
  explicit UniqueFd(int aDescriptor);
  UniqueFd(UniqueFd&& aOther) noexcept;
  UniqueFd& operator=(UniqueFd&& aOther) noexcept;
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;
  ~UniqueFd();

  /// The descriptor, or -1 when there is none.
  [[nodiscard]] int Get() const;
  [[nodiscard]] bool IsValid() const;

  /// Closes the descriptor now.
  void Reset();

  /// Leaves the descriptor open for a new owner. @return the descriptor
  [[nodiscard]] int Release();

private:
  int descriptor = -1;
};

/// Most descriptors that the system lets this process open.
[[nodiscard]] std::size_t
ProcessDescriptorLimit();

} // namespace lagoonward
