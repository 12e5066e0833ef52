#include "Lagoonward/Daemon/HttpOrderSender.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lagoonward {

namespace {

constexpr int kConflict = 409;
constexpr int kFirstErrorStatus = 300;
constexpr const char* kOverloaded = "overloaded";

} // namespace

HttpOrderSender::HttpOrderSender(const PlatformSettings& aSettings)
  : settings(aSettings)
{
}

Result<void>
HttpOrderSender::Send(const Endpoint& aEndpoint, const PlacementOrder& aOrder, Offset aFencing)
{
  if (this->interrupted) {
    return Error(ErrorKind::PlatformUnavailable, "stopping");
  }
  PlatformHttpClient client(fmt::format("http://{}:{}", aEndpoint.address, aEndpoint.port),
                            this->settings);
  PlatformCall call;
  call.method = "POST";
  call.path = "/v1/orders";
  call.body = SerializeOrder(aOrder, aFencing);
  call.expectedErrorKind = kOverloaded;
  const auto response = client.Call(call);
  if (!response) {
    return response.error();
  }
  const int status = response.value().status;
  if (status == kConflict) {
    return Error(ErrorKind::StaleFencing,
                 "the engine rejected the order: it has seen a newer fencing number");
  }
  if (status >= kFirstErrorStatus) {
    return Error(ErrorKind::EndpointRejected,
                 fmt::format("the engine rejected the order with HTTP status {}", status));
  }
  return boost::outcome_v2::success();
}

void
HttpOrderSender::Interrupt()
{
  this->interrupted = true;
}

std::string
SerializeOrder(const PlacementOrder& aOrder, Offset aFencing)
{
  nlohmann::json body{ { "order_id", aOrder.id },
                       { "fencing", aFencing },
                       { "kind", ToString(aOrder.kind) },
                       { "model", aOrder.model },
                       { "version", aOrder.version } };
  if (!aOrder.adapter.empty()) {
    body["adapter"] = aOrder.adapter;
    body["adapter_version"] = aOrder.adapterVersion;
  }
  return body.dump();
}

} // namespace lagoonward
