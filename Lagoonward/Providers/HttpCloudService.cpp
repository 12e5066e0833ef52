#include "Lagoonward/Providers/HttpCloudService.h"

#include "Lagoonward/Providers/PlatformDecoder.h"

#include <fmt/format.h>

namespace lagoonward {

namespace {

constexpr int kFirstClientError = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;

/// Error kind with which the cloud responds when it has no such machine. No host was started then.
constexpr const char* kNoCapacity = "no_capacity";

constexpr NumberRange kPriceRange{ 0, 1e6 };
const Log kLog("platform");

Price
ReadPrice(JsonReader& aReader)
{
  Price price;
  price.machineClass = aReader.ReadString("machine_class");
  price.failureDomain = aReader.ReadString("failure_domain");
  price.reclaimable = aReader.ReadBoolean("reclaimable");
  price.perHour = aReader.ReadNumber("per_hour", kPriceRange);
  return price;
}

ReclaimNotice
ReadNotice(JsonReader& aReader)
{
  ReclaimNotice notice;
  notice.host = aReader.ReadOptionalString("host");
  notice.failureDomain = aReader.ReadOptionalString("failure_domain");
  notice.at = FromUnixMilliseconds(aReader.ReadInteger("at_ms", kPlatformIntegers));
  notice.grace = Milliseconds(aReader.ReadInteger("grace_ms", kPlatformIntegers));
  if (notice.host.empty() && notice.failureDomain.empty()) {
    aReader.Fault("host", "expected a host or a failure domain, got neither");
  }
  return notice;
}

std::string
WriteHostRequest(const HostRequest& aRequest)
{
  const bool isEngine = aRequest.kind == EndpointKind::Engine;
  const nlohmann::json body{ { "client_token", aRequest.clientToken },
                             { "kind", isEngine ? "engine" : "service" },
                             { "machine_class", aRequest.machineClass },
                             { "failure_domain", aRequest.failureDomain },
                             { "reclaimable", aRequest.reclaimable } };
  return body.dump();
}

} // namespace

HttpCloudService::HttpCloudService(std::string aBaseUrl, PlatformSettings aSettings)
  : client(std::move(aBaseUrl), aSettings)
{
}

Result<std::string>
HttpCloudService::StartHost(const HostRequest& aRequest)
{
  PlatformCall call;
  call.method = "POST";
  call.path = "/hosts";
  call.body = WriteHostRequest(aRequest);
  call.expectedErrorKind = kNoCapacity;
  const auto response = this->client.Call(call);
  if (!response) {
    return response.error();
  }
  if (response.value().status >= kFirstClientError) {
    return Error(
      ErrorKind::Overloaded,
      fmt::format("the cloud refused to start the host: status {}", response.value().status));
  }
  return DecodeResponse(response.value(),
                        [](JsonReader& aReader) { return aReader.ReadString("id"); });
}

Result<void>
HttpCloudService::StopHost(std::string_view aId)
{
  PlatformCall call;
  call.method = "DELETE";
  call.path = "/hosts/" + EscapePath(aId);
  const auto response = this->client.Call(call);
  if (!response) {
    return response.error();
  }
  const int status = response.value().status;
  if (status >= kFirstClientError && status != kNotFound && status != kGone) {
    return Error(ErrorKind::InvalidRequest,
                 fmt::format("the cloud refused to stop the host: status {}", status));
  }
  return boost::outcome_v2::success();
}

Result<std::vector<Price>>
HttpCloudService::Prices()
{
  PlatformCall call;
  call.path = "/prices";
  const auto response = this->client.Call(call);
  if (!response) {
    return response.error();
  }
  return DecodeList(response.value(), "price", kLog, ReadPrice);
}

Result<NoticePage>
HttpCloudService::Notices(Offset aFrom, Milliseconds aWait)
{
  PlatformCall call;
  call.path = fmt::format("/notices?from={}&wait_ms={}", aFrom, aWait.count());
  call.wait = aWait;
  const auto response = this->client.Call(call);
  if (!response) {
    return response.error();
  }
  return DecodeResponse(response.value(), [](JsonReader& aReader) {
    NoticePage page;
    page.start = aReader.ReadInteger("start", kPlatformIntegers);
    page.end = aReader.ReadInteger("end", kPlatformIntegers);
    const auto* notices = aReader.Require("notices");
    if (notices != nullptr && notices->is_array()) {
      page.notices = DecodeEntries(*notices, "reclaim notice", kLog, ReadNotice);
    } else if (notices != nullptr) {
      aReader.Fault("notices", "not an array");
    }
    return page;
  });
}

void
HttpCloudService::Interrupt()
{
  this->client.Interrupt();
}

} // namespace lagoonward
