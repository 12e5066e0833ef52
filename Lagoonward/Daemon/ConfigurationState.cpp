#include "Lagoonward/Daemon/ConfigurationState.h"

#include "Lagoonward/Configuration/ConfigurationRecord.h"

namespace lagoonward {

namespace {

/// Prefix of the names of shared states that carry a market's configuration.
constexpr std::string_view kConfigurationTopic = "config/";

/// Publisher of a checkpoint record that was never in the log; decoding rejects a record with an empty publisher.
constexpr std::string_view kPeerWriter = "peer";

} // namespace

bool
IsConfigurationState(const SharedState& aState)
{
  return aState.name.starts_with(kConfigurationTopic);
}

std::string
MarketOfState(const SharedState& aState)
{
  return aState.name.substr(kConfigurationTopic.size());
}

SharedState
EncodeConfigurationState(const Configuration& aConfiguration, Offset aThrough)
{
  ConfigurationRecord record;
  record.kind = ConfigurationRecord::Kind::Checkpoint;
  record.of = aConfiguration.offset;
  record.through = aThrough;
  record.manifest = aConfiguration.manifest;
  record.publisher.incarnation = kPeerWriter;
  return { std::string(kConfigurationTopic) + aConfiguration.market, aConfiguration.offset,
           WriteConfigurationRecord(record) };
}

std::optional<ConfigurationOffer>
DecodeConfigurationState(const SharedState& aState)
{
  JsonFaults faults;
  const std::string market = MarketOfState(aState);
  auto record = ReadConfigurationRecord(aState.bytes, market, faults);
  if (!record || record->kind != ConfigurationRecord::Kind::Checkpoint || !record->manifest ||
      record->of != aState.version) {
    return std::nullopt;
  }
  auto configuration = std::make_shared<Configuration>();
  configuration->market = market;
  configuration->offset = record->of;
  configuration->manifest = std::move(*record->manifest);
  return ConfigurationOffer{ std::move(configuration), record->through };
}

} // namespace lagoonward
