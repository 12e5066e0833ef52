#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// One fault of a JSON document.
struct JsonFault
{
  std::string pointer; ///< JSON pointer (RFC 6901) of the value; empty for the whole document.
  std::string message; ///< Describes the fault in one short sentence.
};

/// The faults of a JSON document. A document from outside may have as many faults as bytes, each with a pointer as long
/// as the document; what is kept of them is bounded: the first kMaximumKept faults, with texts that are shortened to
/// kMaximumTextBytes, and the number of all.
class JsonFaults
{
public:
  static constexpr std::size_t kMaximumKept = 64;
  static constexpr std::size_t kMaximumTextBytes = 200; ///< Of a pointer, and of a message.

  void Add(std::string_view aPointer, std::string_view aMessage);

  /// Adds the faults of a value that stands at aPointer.
  void AddBelow(std::string_view aPointer, const JsonFaults& aFaults);

  /// Number of all faults, also of those that are not kept.
  [[nodiscard]] std::size_t Count() const { return this->count; }
  [[nodiscard]] bool IsEmpty() const { return this->count == 0; }

  /// The faults that are kept, in the order in which they were added.
  [[nodiscard]] const std::vector<JsonFault>& Kept() const { return this->kept; }

private:
  std::vector<JsonFault> kept;
  std::size_t count = 0;
};

/// Faults in one line, for messages: `/a/b: missing; /c: not a number`. Lists the first ones, up to some 1,000 bytes,
/// and says how many it leaves out.
[[nodiscard]] std::string
DescribeFaults(const JsonFaults& aFaults);

} // namespace lagoonward
