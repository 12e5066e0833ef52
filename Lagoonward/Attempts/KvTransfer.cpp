#include "Lagoonward/Attempts/KvTransfer.h"

#include <nlohmann/json.hpp>

namespace lagoonward {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;

/// Largest stored response body in bytes. The responses of both steps are short.
constexpr std::size_t kMaximumBody = 4096;

} // namespace

KvTransfer::KvTransfer(TrafficLoop& aLoop, Route aRoute,
                       std::function<void(bool aSucceeded)> aOnDone)
  : loop(aLoop)
  , route(std::move(aRoute))
  , onDone(std::move(aOnDone))
{
}

KvTransfer::~KvTransfer()
{
  if (this->transfer != 0) {
    this->loop.CancelTransfer(this->transfer);
  }
}

void
KvTransfer::Start()
{
  HttpTransferRequest request;
  request.method = "POST";
  request.url =
    "http://" + this->route.sourceAddress + "/v1/streams/" + this->route.streamId + "/export";
  // The replies name no stream, so no late reply to an earlier call may be on the connection
  request.freshConnection = true;
  request.timeout = this->route.timeout;
  this->transfer = this->loop.StartTransfer(request, *this);
}

void
KvTransfer::OnBytes(int /*aStatus*/, std::string_view aBytes)
{
  if (this->body.size() + aBytes.size() > kMaximumBody) {
    this->loop.StopTransfer(this->transfer);
    return;
  }
  this->body.append(aBytes);
}

void
KvTransfer::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  const bool succeeded = aEnd.outcome == TransferOutcome::Complete && aEnd.status == kStatusOk;
  if (succeeded && !this->importing) {
    this->Import();
    return;
  }
  // The callback may destroy this object
  const auto callback = std::move(this->onDone);
  callback(succeeded);
}

void
KvTransfer::Import()
{
  const Json exported = Json::parse(this->body, nullptr, false);
  const auto id = exported.is_object() ? exported.find("kv_id") : exported.end();
  if (!exported.is_object() || id == exported.end() || !id->is_string()) {
    const auto callback = std::move(this->onDone);
    callback(false);
    return;
  }
  this->importing = true;
  HttpTransferRequest request;
  request.method = "POST";
  request.url = "http://" + this->route.targetAddress + "/v1/kv/import";
  request.headers = { "Content-Type: application/json" };
  request.freshConnection = true;
  request.body = Json{ { "kv_id", *id }, { "from", this->route.sourceAddress } }.dump();
  request.timeout = this->route.timeout;
  this->body.clear();
  this->transfer = this->loop.StartTransfer(request, *this);
}

} // namespace lagoonward
