#include "Lagoonward/Admission/PermitLedger.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/LoadTable.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kGroup = 0;

/// No sum may contain impossible values, such as negative counts or totals, whatever the reports contain.
void
CheckSums(LoadTable& aTable)
{
  const LoadSum sum = aTable.SumFor(1);
  if (sum.demand.daemons < 0 || aTable.ReportedDaemons() < 0) {
    std::abort();
  }
  for (const ClientDemand& demand : sum.demand.demand) {
    if (!(demand.admittedTotal >= 0) || !(demand.tokensPerSecond >= 0)) {
      std::abort();
    }
  }
  // The group sum must encode to a report that decodes
  const std::string bytes = EncodeMessage(aTable.MakeGroupReport(true));
  if (!DecodeMessage<GroupReport>(bytes).has_value()) {
    std::abort();
  }
}

} // namespace

/// No message on crashes or permits may cause a poison verdict or a permit wait that is longer than its maximum.
void
CheckShared(std::string_view aBytes, const Clock& aClock)
{
  PoisonRequestFilter filter({}, aClock);
  if (const auto report = DecodeMessage<CrashReport>(aBytes)) {
    filter.OnRemoteCrash(report.value());
  }
  if (const auto sum = DecodeMessage<LoadSum>(aBytes)) {
    filter.OnVerdicts(sum.value().poison);
  }
  for (const PoisonVerdict& verdict : filter.Verdicts()) {
    if (Milliseconds(verdict.expiresIn) > PoisonFilterSettings{}.poisonRetention) {
      std::abort();
    }
  }
  PermitLedger ledger({}, aClock);
  if (const auto request = DecodeMessage<PermitRequest>(aBytes)) {
    const PermitReply reply = ledger.Serve(request.value(), ReserveRole::Primary, true);
    if (Milliseconds(reply.retryAfterMs) > PermitSettings{}.maximumWait) {
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
  LoadTable table({}, 1, clock);
  table.SetGroup(kGroup);
  if (const auto report = DecodeMessage<MemberReport>(bytes)) {
    table.OnMemberReport(report.value());
  }
  if (const auto report = DecodeMessage<GroupReport>(bytes)) {
    static_cast<void>(table.OnGroupReport(report.value()));
  }
  static_cast<void>(DecodeMessage<LoadSum>(bytes));
  CheckSums(table);
  CheckShared(bytes, clock);
  return 0;
}
