#include "Lagoonward/Admission/PermitBook.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/LoadBook.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kGroup = 0;

/// Whatever is told, no sum may name what cannot be.
void
CheckSums(LoadBook& aBook)
{
  const LoadSum sum = aBook.SumFor(1);
  if (sum.demand.daemons < 0 || aBook.Heard() < 0) {
    std::abort();
  }
  for (const ClientDemand& demand : sum.demand.demand) {
    if (!(demand.admittedTotal >= 0) || !(demand.tokensPerSecond >= 0)) {
      std::abort();
    }
  }
  // What is passed on can be read
  const std::string bytes = EncodeMessage(aBook.GroupSum(true));
  if (!DecodeMessage<GroupReport>(bytes).has_value()) {
    std::abort();
  }
}

} // namespace

/// Whatever daemons tell each other of crashes and permits, what follows from it stays within its bounds.
void
CheckShared(std::string_view aBytes, const Clock& aClock)
{
  PoisonGuard guard({}, aClock);
  if (const auto report = DecodeMessage<CrashReport>(aBytes)) {
    guard.OnToldCrash(report.value());
  }
  if (const auto sum = DecodeMessage<LoadSum>(aBytes)) {
    guard.OnNotes(sum.value().poison);
  }
  for (const PoisonNote& note : guard.Notes()) {
    if (Milliseconds(note.expiresIn) > PoisonSettings{}.poisonMemory) {
      std::abort();
    }
  }
  PermitBook book({}, aClock);
  if (const auto request = DecodeMessage<PermitRequest>(aBytes)) {
    const PermitReply reply = book.Serve(request.value(), ReserveRole::Primary, true);
    if (Milliseconds(reply.wait) > PermitSettings{}.longestWait) {
      std::abort();
    }
  }
  static_cast<void>(DecodeMessage<PermitReply>(aBytes));
}

/// Reports of load as other daemons send them.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const VirtualClock clock;
  LoadBook book({}, 1, clock);
  book.SetGroup(kGroup);
  if (const auto report = DecodeMessage<MemberReport>(bytes)) {
    book.OnMember(report.value());
  }
  if (const auto report = DecodeMessage<GroupReport>(bytes)) {
    static_cast<void>(book.OnGroup(report.value()));
  }
  static_cast<void>(DecodeMessage<LoadSum>(bytes));
  CheckSums(book);
  CheckShared(bytes, clock);
  return 0;
}
