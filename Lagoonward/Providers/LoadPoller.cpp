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

/// One reading in progress. Lives until the transfer's end.
class LoadPoller::Reading final : public HttpTransferObserver
{
public:
  Reading(std::size_t aMaximumBytes, Done aDone)
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
    const std::unique_ptr<Reading> self(this);
    if (aEnd.outcome != TransferOutcome::Complete || aEnd.status != kStatusOk || this->tooLarge) {
      this->done(Error(ErrorKind::EndpointFailed,
                       fmt::format("No load: status {}, {}.", aEnd.status, aEnd.message)));
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
    auto reading = std::make_unique<Reading>(this->settings.maximumBytes, done);
    // Frees itself at the transfer's end
    this->loop.StartTransfer(request, *reading.release());
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
    return Error(ErrorKind::EndpointFailed, fmt::format("The load is malformed: {}", error.what()));
  }
}

} // namespace lagoonward
