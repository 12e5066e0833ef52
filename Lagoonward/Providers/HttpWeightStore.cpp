#include "Lagoonward/Providers/HttpWeightStore.h"

namespace lagoonward {

namespace {

constexpr int kFirstRefusal = 300;

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
  const auto answer = this->client.Call(call);
  if (!answer) {
    return answer.error();
  }
  if (answer.value().status >= kFirstRefusal) {
    return Error(ErrorKind::UnknownModel, "the weight store has no such weights: status " +
                                            std::to_string(answer.value().status));
  }
  return boost::outcome_v2::success();
}

void
HttpWeightStore::Interrupt()
{
  this->client.Interrupt();
}

} // namespace lagoonward
