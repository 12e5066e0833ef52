#include "Lagoonward/Admission/PermitBook.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/LoadBook.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kGroup = 0;

/// No sum may contain impossible values, such as negative counts or totals, whatever the reports contain.
void
CheckSums(LoadBook& aTable)
{
  const LoadSum sum = aTable.SumFor(1);
  if (sum.demand.daemons < 0 || aTable.Heard() < 0) {
    std::abort();
  }
  for (const ClientDemand& demand : sum.demand.demand) {
    if (!(demand.admittedTotal >= 0) || !(demand.tokensPerSecond >= 0)) {
      std::abort();
    }
  }
  // The group sum must encode to a report that decodes
  const std::string bytes = EncodeMessage(aTable.GroupSum(true));
  if (!DecodeMessage<GroupReport>(bytes).has_value()) {
    std::abort();
  }
}

} // namespace

/// Arbitrary messages on crashes and permits must not exceed the poison retention or the longest permit wait.
void
CheckShared(std::string_view aBytes, const Clock& aClock)
{
  PoisonGuard filter({}, aClock);
  if (const auto report = DecodeMessage<CrashReport>(aBytes)) {
    filter.OnToldCrash(report.value());
  }
  if (const auto sum = DecodeMessage<LoadSum>(aBytes)) {
    filter.OnNotes(sum.value().poison);
  }
  for (const PoisonNote& note : filter.Notes()) {
    if (Milliseconds(note.expiresIn) > PoisonSettings{}.poisonMemory) {
      std::abort();
    }
  }
  PermitBook ledger({}, aClock);
  if (const auto request = DecodeMessage<PermitRequest>(aBytes)) {
    const PermitReply reply = ledger.Serve(request.value(), ReserveRole::Primary, true);
    if (Milliseconds(reply.wait) > PermitSettings{}.longestWait) {
      std::abort();
    }
  }
  static_cast<void>(DecodeMessage<PermitReply>(aBytes));
}

/// Decodes load reports, crash reports and permit messages as other daemons send them.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const VirtualClock clock;
  LoadBook table({}, 1, clock);
  table.SetGroup(kGroup);
  if (const auto report = DecodeMessage<MemberReport>(bytes)) {
    table.OnMember(report.value());
  }
  if (const auto report = DecodeMessage<GroupReport>(bytes)) {
    static_cast<void>(table.OnGroup(report.value()));
  }
  static_cast<void>(DecodeMessage<LoadSum>(bytes));
  CheckSums(table);
  CheckShared(bytes, clock);
  return 0;
}
