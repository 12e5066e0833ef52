#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Frontend/CallReader.h"

#include <cstdint>
#include <cstdlib>

using namespace lagoonward;

namespace {

/// SHA-256 of "key".
constexpr const char* kKeySha256 =
  "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";

Configuration
MakeConfiguration()
{
  Configuration configuration;
  configuration.market = "vestland";
  configuration.offset = 0;
  Manifest& manifest = configuration.manifest;
  manifest.market = "vestland";
  manifest.models = { { "permit", "3", { { "effluent", { "2", "1" } } }, 1 } };
  manifest.classes = { { "urgent", Milliseconds(800), Milliseconds(60), Milliseconds(5'000), 1 } };
  manifest.clients = { { "county", kKeySha256, 1, 0, 0 } };
  return configuration;
}

/// An accepted request is within the limits; a rejected one has a 4xx error kind and did not run.
void
Check(const Result<CompletionRequest>& aResult)
{
  const CallSettings settings;
  if (!aResult) {
    const int status = GetErrorRule(aResult.error().kind).httpStatus;
    if (status < 400 || status >= 500 || aResult.error().ran != Ran::No) {
      std::abort();
    }
    static_cast<void>(aResult.error().ToJson());
    return;
  }
  const int tokens = aResult.value().call.engine.maxTokens;
  if (tokens <= 0 || tokens > settings.maximumMaxTokens) {
    std::abort();
  }
}

} // namespace

/// Decodes callers' JSON bodies as completions and as chats.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  static const Configuration kConfiguration = MakeConfiguration();
  static const VirtualClock kClock;
  const CallReader reader(CallSettings(), kClock);
  HttpRequest request;
  request.method = "POST";
  request.headers = { { "Authorization", "Bearer key" } };
  request.body = std::string(reinterpret_cast<const char*>(aData), aSize);
  for (const std::string_view path : { CallReader::kCompletionPath, CallReader::kChatPath }) {
    request.path = path;
    Check(reader.ReadCompletion(request, kConfiguration));
  }
  return 0;
}
