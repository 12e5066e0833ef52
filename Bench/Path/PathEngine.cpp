#include "Bench/Path/PathEngine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonward::bench {

namespace {

constexpr unsigned kConnections = 8192;
constexpr Seconds kIdleTimeout{ 120 };
constexpr int kStatusOk = 200;

HttpServerSettings
MakeServerSettings(const PathEngineSettings& aSettings)
{
  HttpServerSettings server;
  server.threads = aSettings.threads;
  server.maximumConnections = kConnections;
  server.limits.idleTimeout = kIdleTimeout;
  return server;
}

} // namespace

PathEngine::PathEngine(PathEngineSettings aSettings)
  : settings(std::move(aSettings))
  , tokenEventSuffix(fmt::format(",\"text\":\"{}\"}}\n\n", this->settings.token))
  , step(this->settings.step)
  , server(MakeServerSettings(this->settings),
           [this](const HttpRequest& aRequest, const HttpExchangePtr& aExchange) {
             this->Handle(aRequest, aExchange);
           })
{
}

PathEngine::~PathEngine()
{
  this->stopping = true;
  if (this->ticker.joinable()) {
    this->ticker.join();
  }
  for (const Stream& stream : this->streams) {
    stream.exchange->EndStream();
  }
  this->server.Stop();
}

Result<void>
PathEngine::Start()
{
  auto started = this->server.Start();
  if (started) {
    this->ticker = std::thread([this] { this->RunTicker(); });
  }
  return started;
}

void
PathEngine::FinishStreams()
{
  const std::scoped_lock lock(this->mutex);
  for (Stream& stream : this->streams) {
    stream.count = std::min(stream.count, stream.next + 1);
  }
}

void
PathEngine::Handle(const HttpRequest& aRequest, const HttpExchangePtr& aExchange)
{
  if (aRequest.path == "/v1/completions") {
    this->BeginStream(aRequest, aExchange);
    return;
  }
  aExchange->Respond(kStatusOk, { { "Content-Type", "application/json" } }, "{\"filed\":true}");
}

void
PathEngine::BeginStream(const HttpRequest& aRequest, const HttpExchangePtr& aExchange)
{
  const auto body = nlohmann::json::parse(aRequest.body.Text());
  Stream stream;
  stream.exchange = aExchange;
  stream.identityFields = fmt::format(
    R"("attempt_id":"{}","model":"{}","version":"{}")", body.at("attempt_id").get<std::string>(),
    body.at("model").get<std::string>(), body.at("version").get<std::string>());
  stream.count = body.at("max_tokens").get<int>();
  aExchange->BeginStream(kStatusOk, { { "Content-Type", "text/event-stream" } });
  std::string opening = "data: {" + stream.identityFields + ",\"stream_id\":\"s\"}\n\n";
  if (this->WriteNext(stream, std::move(opening))) {
    const std::scoped_lock lock(this->mutex);
    this->streams.push_back(std::move(stream));
  }
}

bool
PathEngine::WriteNext(Stream& aStream, std::string aPrefix)
{
  std::string events = std::move(aPrefix);
  fmt::format_to(std::back_inserter(events), "data: {{\"index\":{}", aStream.next++);
  events += this->tokenEventSuffix;
  const bool isLast = aStream.next >= aStream.count;
  if (isLast) {
    fmt::format_to(std::back_inserter(events),
                   "data: {{{},\"finish_reason\":\"length\",\"token_count\":{}}}\n\n",
                   aStream.identityFields, aStream.next);
  }
  const bool isConnected = aStream.exchange->Write(events);
  if (isLast || !isConnected) {
    aStream.exchange->EndStream();
  }
  return isConnected && !isLast;
}

void
PathEngine::RunTicker()
{
  auto next = std::chrono::steady_clock::now();
  while (!this->stopping) {
    next = std::max(next + this->step.load(), std::chrono::steady_clock::now());
    std::this_thread::sleep_until(next);
    const std::scoped_lock lock(this->mutex);
    std::erase_if(this->streams, [this](Stream& aStream) { return !this->WriteNext(aStream, {}); });
  }
}

} // namespace lagoonward::bench
