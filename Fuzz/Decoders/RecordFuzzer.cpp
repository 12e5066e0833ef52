#include "Lagoonward/Claims/ClaimRecord.h"
#include "Lagoonward/Configuration/ConfigurationOffer.h"
#include "Lagoonward/Configuration/ConfigurationRecord.h"
#include "Lagoonward/Leadership/LeaseLedger.h"

#include <cstdint>
#include <cstdlib>

using namespace lagoonward;

namespace {

/// Of the faults of one record, in bytes.
constexpr std::size_t kLongestDescription = 2000;

void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

/// Reading gives either a record or faults, never both; a record survives writing and reading unchanged.
template<typename Read, typename Write>
void
CheckRoundTrip(std::string_view aBytes, Read aRead, Write aWrite)
{
  JsonFaults faults;
  const auto record = aRead(aBytes, faults);
  Require(record.has_value() == faults.IsEmpty());
  Require(DescribeFaults(faults).size() <= kLongestDescription);
  if (!record) {
    return;
  }
  const std::string written = aWrite(*record);
  JsonFaults none;
  const auto again = aRead(written, none);
  Require(again.has_value() && aWrite(*again) == written);
}

} // namespace

/// Decodes every kind of record that the daemon reads from the log, and configuration offers of peers.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  CheckRoundTrip(bytes, &ReadLeaseRecord, &WriteLeaseRecord);
  CheckRoundTrip(bytes, &ReadClaimRecord, &WriteClaimRecord);
  CheckRoundTrip(
    bytes,
    [](std::string_view aText, JsonFaults& aFaults) {
      return ReadConfigurationRecord(aText, "vestland", aFaults);
    },
    &WriteConfigurationRecord);
  static_cast<void>(ReadOffer(bytes, "vestland"));

  // Two consecutive records with arbitrary content
  LeaseLedger ledger;
  ledger.ObserveStart(static_cast<Offset>(aSize % 3));
  ledger.Apply(5, bytes);
  ledger.Apply(6, bytes);
  Require(ledger.NextOffset() == 7);
  return 0;
}
