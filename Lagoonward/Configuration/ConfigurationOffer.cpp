#include "Lagoonward/Configuration/ConfigurationOffer.h"

#include "Lagoonward/Configuration/ConfigurationRecord.h"

namespace lagoonward {

std::string
WriteOffer(const ConfigurationOffer& aOffer, std::string_view aIncarnation)
{
  ConfigurationRecord record;
  record.kind = ConfigurationRecord::Kind::Checkpoint;
  record.through = aOffer.through;
  record.publisher = { std::string(aIncarnation), 0 };
  if (aOffer.configuration) {
    record.of = aOffer.configuration->offset;
    record.manifest = aOffer.configuration->manifest;
  }
  return WriteConfigurationRecord(record);
}

std::optional<ConfigurationOffer>
ReadOffer(std::string_view aText, std::string_view aMarket)
{
  JsonFaults faults;
  auto record = ReadConfigurationRecord(aText, aMarket, faults);
  if (!record || record->kind != ConfigurationRecord::Kind::Checkpoint) {
    return std::nullopt;
  }
  ConfigurationOffer offer;
  offer.through = record->through;
  if (record->manifest) {
    offer.configuration = std::make_shared<const Configuration>(
      Configuration{ std::string(aMarket), record->of, std::move(*record->manifest) });
  }
  return offer;
}

} // namespace lagoonward
