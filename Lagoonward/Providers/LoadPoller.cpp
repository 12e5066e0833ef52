#include "Lagoonward/Providers/LoadPoller.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace lagoonward {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;

LoadedModel
DecodeModel(const Json& aModel)
{
  LoadedModel model;
  model.name = aModel.at("name").get<std::string>();
  model.version = aModel.at("version").get<std::string>();
  for (const Json& adapter : aModel.value("adapters", Json::array())) {
    model.adapters.push_back(
      { adapter.at("name").get<std::string>(), adapter.at("version").get<std::string>() });
  }
  return model;
}

} // namespace

/// One load request in progress. Deletes itself when its transfer ends.
class LoadPoller::LoadRequest final : public HttpTransferObserver
{
public:
  LoadRequest(std::size_t aMaximumBytes, Done aDone)
    : maximumBytes(aMaximumBytes)
    , done(std::move(aDone))
  {
  }

  void OnBytes(int /*aStatus*/, std::string_view aBytes) override
  {
    this->tooLarge = this->tooLarge || this->body.size() + aBytes.size() > this->maximumBytes;
    if (!this->tooLarge) {
      this->body.append(aBytes);
    }
  }

  void OnEnd(const TransferEnd& aEnd) override
  {
    const std::unique_ptr<LoadRequest> self(this);
    if (aEnd.outcome != TransferOutcome::Complete || aEnd.status != kStatusOk || this->tooLarge) {
      this->done(
        Error(ErrorKind::EndpointFailed,
              fmt::format("The load request failed: status {}, {}.", aEnd.status, aEnd.message)));
      return;
    }
    this->done(Decode(this->body));
  }

private:
  std::size_t maximumBytes;
  Done done;
  std::string body;
  bool tooLarge = false;
};

LoadPoller::LoadPoller(const LoadPollerSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , loop(aClock, {})
{
}

void
LoadPoller::Start()
{
  this->loop.Start();
}

void
LoadPoller::Stop()
{
  this->loop.Stop();
}

void
LoadPoller::Poll(const HostEntry& aEndpoint, Done aDone)
{
  HttpTransferRequest request;
  request.url = fmt::format("http://{}:{}/v1/load", aEndpoint.address, aEndpoint.port);
  request.timeout = this->settings.timeout;
  this->loop.Post([this, request = std::move(request), done = std::move(aDone)] {
    auto loadRequest = std::make_unique<LoadRequest>(this->settings.maximumBytes, done);
    // The request deletes itself when the transfer ends
    this->loop.StartTransfer(request, *loadRequest.release());
  });
}

Result<EndpointLoad>
LoadPoller::Decode(std::string_view aBody)
{
  try {
    const Json body = Json::parse(aBody);
    EndpointLoad load;
    load.waiting = body.at("waiting").get<int>();
    load.running = body.at("running").get<int>();
    load.kvBlocksUsed = body.value("kv_blocks_used", std::int64_t{ 0 });
    load.kvBlocksTotal = body.value("kv_blocks_total", std::int64_t{ 0 });
    for (const Json& model : body.at("models")) {
      load.models.push_back(DecodeModel(model));
    }
    load.role = body.value("role", std::string());
    load.asOf = FromUnixMilliseconds(body.at("as_of_ms").get<std::int64_t>());
    return load;
  } catch (const Json::exception& error) {
    return Error(ErrorKind::EndpointFailed,
                 fmt::format("The load response is malformed: {}", error.what()));
  }
}

} // namespace lagoonward
