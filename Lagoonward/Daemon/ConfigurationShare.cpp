#include "Lagoonward/Daemon/ConfigurationShare.h"

#include "Lagoonward/Configuration/ConfigurationRecord.h"

namespace lagoonward {

namespace {

/// Topics of shared states that carry a market's configuration.
constexpr std::string_view kConfigurationTopic = "config/";

/// Stands as the writer of a checkpoint that was never in the log; readers refuse an empty one.
constexpr std::string_view kPeerWriter = "peer";

} // namespace

bool
IsConfigurationShare(const SharedState& aState)
{
  return aState.name.starts_with(kConfigurationTopic);
}

std::string
MarketOfShare(const SharedState& aState)
{
  return aState.name.substr(kConfigurationTopic.size());
}

SharedState
WriteConfigurationShare(const Configuration& aConfiguration, Offset aThrough)
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
ReadConfigurationShare(const SharedState& aState)
{
  JsonFaults faults;
  const std::string market = MarketOfShare(aState);
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
