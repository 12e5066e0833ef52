#include "Lagoonward/Providers/HttpWeightStore.h"

namespace lagoonward {

namespace {

constexpr int kFirstFailureStatus = 300;

} // namespace

HttpWeightStore::HttpWeightStore(std::string aBaseUrl, PlatformSettings aSettings)
  : client(std::move(aBaseUrl), aSettings)
{
}

Result<void>
HttpWeightStore::Check(std::string_view aModel, std::string_view aVersion)
{
  PlatformCall call;
  call.path = "/weights/" + EscapePath(aModel) + "/" + EscapePath(aVersion);
  call.discardsBody = true;
  const auto response = this->client.Call(call);
  if (!response) {
    return response.error();
  }
  if (response.value().status >= kFirstFailureStatus) {
    return Error(ErrorKind::UnknownModel, "the weight store does not have these weights: status " +
                                            std::to_string(response.value().status));
  }
  return boost::outcome_v2::success();
}

void
HttpWeightStore::Interrupt()
{
  this->client.Interrupt();
}

} // namespace lagoonward
