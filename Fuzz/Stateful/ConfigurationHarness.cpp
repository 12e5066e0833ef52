#include "Fuzz/Stateful/ConfigurationHarness.h"

#include "UnitTests/Support/SampleManifest.h"

#include <algorithm>

namespace lagoonward::fuzz {

namespace {

const Manifest&
AnyManifest()
{
  static const Manifest kManifest = testing::SampleManifest("vestland");
  return kManifest;
}

} // namespace

ConfigurationHarness::ConfigurationHarness()
{
  for (int actor = 0; actor < kActors; ++actor) {
    this->Restart(actor);
  }
}

void
ConfigurationHarness::Restart(int aActor)
{
  this->readers[aActor].history = std::make_unique<ConfigurationHistory>(std::string(kMarket));
  this->readers[aActor].highestInForce = kNoOffset;
}

void
ConfigurationHarness::Append(std::string aText, bool aTakesEffect)
{
  const Offset before = this->expectedInForce.empty() ? kNoOffset : this->expectedInForce.back();
  this->expectedInForce.push_back(aTakesEffect ? static_cast<Offset>(this->records.size())
                                               : before);
  this->records.push_back(std::move(aText));
}

void
ConfigurationHarness::Publish(Offset aBase)
{
  ConfigurationRecord record;
  record.base = aBase;
  record.manifest = AnyManifest();
  record.publisher = { "publisher", ++this->sequence };
  const Offset before = this->expectedInForce.empty() ? kNoOffset : this->expectedInForce.back();
  this->Append(WriteConfigurationRecord(record), aBase == before);
}

void
ConfigurationHarness::Read(Reader& aReader, int aLimit)
{
  static_cast<void>(aReader.history->ObserveStart(this->start));
  for (int count = 0; count < aLimit; ++count) {
    const Offset next = aReader.history->NextOffset();
    if (next >= static_cast<Offset>(this->records.size())) {
      return;
    }
    static_cast<void>(aReader.history->Apply(next, this->records[next]));
    this->Check(aReader);
  }
}

void
ConfigurationHarness::Check(Reader& aReader) const
{
  const ConfigurationHistory& history = *aReader.history;
  RC_ASSERT(history.OffsetInForce() >= aReader.highestInForce);
  aReader.highestInForce = history.OffsetInForce();
  if (!history.IsCertain()) {
    return;
  }
  const Offset next = history.NextOffset();
  RC_ASSERT(next <= static_cast<Offset>(this->records.size()));
  RC_ASSERT(history.OffsetInForce() == (next == 0 ? kNoOffset : this->expectedInForce[next - 1]));
}

void
ConfigurationHarness::Run(const Operation& aOperation)
{
  Reader& reader = this->readers[aOperation.actor];
  switch (aOperation.kind) {
    case 0:
      this->Publish(reader.history->OffsetInForce());
      break;
    case 1: {
      const auto size = static_cast<Offset>(this->records.size());
      this->Publish(size == 0 ? kNoOffset : aOperation.argument % size);
      break;
    }
    case 2:
      if (reader.history->IsCertain()) {
        this->Append(WriteConfigurationRecord(
                       reader.history->MakeCheckpoint({ "checkpointer", ++this->sequence })),
                     false);
      }
      break;
    case 3:
      this->Read(reader, aOperation.argument % 8);
      break;
    case 4:
      this->start = std::min<Offset>(static_cast<Offset>(this->records.size()),
                                     this->start + aOperation.argument % 6);
      break;
    case 5:
      this->Restart(aOperation.actor);
      break;
    case 6: {
      const Reader& peer = this->readers[(aOperation.actor + 1) % kActors];
      static_cast<void>(reader.history->AdoptFromPeer(peer.history->Offer()));
      this->Check(reader);
      break;
    }
    default:
      this->Append("{\"kind\":\"manifest\",\"base\":" + std::to_string(aOperation.argument) + "}",
                   false);
      break;
  }
}

void
ConfigurationHarness::Finish()
{
  // Once all readers have read a checkpoint written by a certain reader, all have the same configuration in force
  const auto certain =
    std::find_if(this->readers.begin(), this->readers.end(), [&](const Reader& aReader) {
      return aReader.history->IsCertain() && aReader.history->NextOffset() >= this->start;
    });
  for (Reader& reader : this->readers) {
    this->Read(reader, static_cast<int>(this->records.size()) + 1);
  }
  if (certain == this->readers.end() || !certain->history->IsCertain()) {
    return;
  }
  this->Append(WriteConfigurationRecord(
                 certain->history->MakeCheckpoint({ "checkpointer", ++this->sequence })),
               false);
  for (Reader& reader : this->readers) {
    this->Read(reader, 1);
    RC_ASSERT(reader.history->IsCertain());
    RC_ASSERT(reader.history->OffsetInForce() == this->expectedInForce.back());
  }
}

} // namespace lagoonward::fuzz
