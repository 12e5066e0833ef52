#include "Lagoonward/Providers/HttpHostListService.h"

#include "Lagoonward/Providers/PlatformDecoder.h"

namespace lagoonward {

namespace {

constexpr IntegerRange kPortRange{ 1, 65535 };
const Log kLog("platform");

HostEntry::Kind
ReadKind(JsonReader& aReader)
{
  const std::string kind = aReader.ReadString("kind");
  if (kind == "daemon") {
    return HostEntry::Kind::Daemon;
  }
  if (kind == "service") {
    return HostEntry::Kind::Service;
  }
  if (kind != "engine") {
    aReader.Fault("kind", "must be daemon, engine or service");
  }
  return HostEntry::Kind::Engine;
}

bool
ReadLeaving(JsonReader& aReader)
{
  const std::string state = aReader.ReadString("state");
  if (state != "live" && state != "leaving") {
    aReader.Fault("state", "must be live or leaving");
  }
  return state == "leaving";
}

HostEntry
ReadHost(JsonReader& aReader)
{
  HostEntry entry;
  entry.id = aReader.ReadString("id");
  entry.kind = ReadKind(aReader);
  entry.address = aReader.ReadString("address");
  entry.port = static_cast<std::uint16_t>(aReader.ReadInteger("port", kPortRange));
  entry.failureDomain = aReader.ReadString("failure_domain");
  entry.region = aReader.ReadString("region");
  entry.machineClass = aReader.ReadOptionalString("machine_class");
  entry.name = aReader.ReadOptionalString("name");
  entry.leaving = ReadLeaving(aReader);
  if (entry.id.empty() || entry.address.empty()) {
    aReader.Fault("", "must have an id and an address");
  }
  return entry;
}

} // namespace

HttpHostListService::HttpHostListService(std::string aBaseUrl, PlatformSettings aSettings)
  : client(std::move(aBaseUrl), aSettings)
{
}

Result<std::vector<HostEntry>>
HttpHostListService::Hosts()
{
  PlatformCall call;
  call.path = "/hosts";
  const auto response = this->client.Call(call);
  if (!response) {
    return response.error();
  }
  return DecodeList(response.value(), "host entry", kLog, ReadHost);
}

void
HttpHostListService::Interrupt()
{
  this->client.Interrupt();
}

} // namespace lagoonward
