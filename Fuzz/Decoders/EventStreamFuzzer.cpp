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
  bool valid = true;

  [[nodiscard]] bool operator==(const Outcome&) const = default;
};

/// Feeds the bytes to a reader in chunks of one size.
Outcome
ReadInChunks(std::string_view aBytes, std::size_t aChunkSize)
{
  Outcome outcome;
  EventStreamReader reader(kLimit);
  while (!aBytes.empty() && outcome.valid) {
    const std::string_view chunk = aBytes.substr(0, aChunkSize);
    aBytes.remove_prefix(chunk.size());
    outcome.valid = reader.Consume(chunk, [&](const StreamEvent& aEvent) {
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

/// The decoded events must not depend on the chunk sizes in which the bytes arrive.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const Outcome whole = ReadInChunks(bytes, bytes.size() + 1);
  for (const std::size_t chunk : { 1U, 2U, 7U }) {
    const Outcome chunked = ReadInChunks(bytes, chunk);
    if (chunked.valid && whole.valid && chunked.events != whole.events) {
      std::abort();
    }
  }
  return 0;
}
