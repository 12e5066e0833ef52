#include "Lagoonward/Wire/EventStreamReader.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

using namespace lagoonward;

namespace {

constexpr std::size_t kLimit = 256;

struct Outcome
{
  std::vector<std::string> events;
  bool usable = true;

  [[nodiscard]] bool operator==(const Outcome&) const = default;
};

/// Feeds the bytes in pieces of one size.
Outcome
ReadInPieces(std::string_view aBytes, std::size_t aPiece)
{
  Outcome outcome;
  EventStreamReader reader(kLimit);
  while (!aBytes.empty() && outcome.usable) {
    const std::string_view piece = aBytes.substr(0, aPiece);
    aBytes.remove_prefix(piece.size());
    outcome.usable = reader.Consume(piece, [&](const StreamEvent& aEvent) {
      if (aEvent.data.size() > kLimit) {
        std::abort();
      }
      outcome.events.push_back(std::string(aEvent.type) + '\n' + std::string(aEvent.data) + '\n' +
                               std::string(aEvent.id));
    });
  }
  return outcome;
}

} // namespace

/// The events do not depend on how the bytes arrive.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const Outcome whole = ReadInPieces(bytes, bytes.size() + 1);
  for (const std::size_t piece : { 1U, 2U, 7U }) {
    const Outcome pieces = ReadInPieces(bytes, piece);
    if (pieces.usable && whole.usable && pieces.events != whole.events) {
      std::abort();
    }
  }
  return 0;
}
