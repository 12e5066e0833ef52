#include "StandIns/Engine/EngineStandIn.h"

#include "StandIns/Http/HttpClient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

/// Timeout of one fetch of KV or weights.
constexpr std::chrono::seconds kFetchTimeout{ 10 };

/// Maximum number of retries of a load order at the weight store before the order is abandoned.
constexpr int kMaxWeightRetries = 20;

/// Minimum delay before the weight store is queried again.
constexpr std::chrono::milliseconds kWeightRetryDelay{ 200 };

/// Fault kinds that engines implement in addition to the shared ones.
const std::vector<std::string> kEngineFaults{ "refuse",    "cut",   "crossed", "skip_token",
                                              "cache_gap", "pause", "vanish",  "wrong_version" };

std::string
ToHex(std::uint64_t aHash)
{
  return fmt::format("{:016x}", aHash);
}

json
ToJson(const EngineModel& aModel)
{
  json adapters = json::array();
  for (const auto& adapter : aModel.adapters) {
    adapters.push_back({ { "name", adapter.name }, { "version", adapter.version } });
  }
  return { { "name", aModel.name }, { "version", aModel.version }, { "adapters", adapters } };
}

/// Throws json::exception if a field is missing or has the wrong type.
CompletionRequest
ToCompletionRequest(const json& aJson)
{
  CompletionRequest request;
  request.requestId = aJson.at("request_id").get<std::string>();
  request.attemptId = aJson.at("attempt_id").get<std::string>();
  request.question.prompt = aJson.at("prompt").get<std::string>();
  request.question.seed = aJson.value("seed", std::uint64_t{ 0 });
  request.maxTokens = aJson.value("max_tokens", std::int64_t{ 16 });
  request.priority = aJson.value("priority", 0);
  request.resumeTokens = aJson.value("resume_tokens", std::vector<std::string>());
  return request;
}

/// Throws json::exception if a field is missing or has the wrong type.
EngineModel
ToEngineModel(const json& aOrder)
{
  EngineModel model;
  model.name = aOrder.at("model").get<std::string>();
  model.version = aOrder.at("version").get<std::string>();
  if (aOrder.contains("adapter")) {
    model.adapters.push_back(
      { aOrder.at("adapter").get<std::string>(), aOrder.value("adapter_version", std::string()) });
  }
  return model;
}

} // namespace

EngineStandIn::EngineStandIn(EngineSettings aSettings, const ListenAddress& aListen,
                             Scheduler& aScheduler, ComputeLedger& aLedger)
  : settings(std::move(aSettings))
  , scheduler(aScheduler)
  , faults(aScheduler, kEngineFaults)
  , models(this->settings.models)
  , core(this->settings, aLedger)
  , role(this->settings.role)
  , server(aListen, [this](const Exchange& aExchange) {
    this->faults.Filter(aExchange, [this](const Exchange& aPassed) { this->Route(aPassed); });
  })
{
  this->faults.AttachServer(&this->server);
  this->faults.OnImmediate("cache_gap", [this](const Fault&) { this->core.DropCacheEvents(); });
  this->faults.OnImmediate("pause",
                           [this](const Fault& aFault) { this->core.Pause(aFault.duration); });
  this->faults.OnImmediate("vanish", [this](const Fault& aFault) {
    this->scheduler.After(aFault.duration, [this] { this->Terminate(); });
  });
}

EngineStandIn::~EngineStandIn()
{
  this->Terminate();
}

std::size_t
EngineStandIn::Running()
{
  const std::lock_guard lock(this->mutex);
  return this->terminated ? 0 : this->core.Load().running;
}

void
EngineStandIn::Terminate()
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->terminated) {
      return;
    }
    this->terminated = true;
  }
  this->background.Stop();
  this->core.Stop();
  this->server.Stop();
}

void
EngineStandIn::Route(const Exchange& aExchange)
{
  const auto& request = aExchange->Request();
  try {
    if (request.path == "/v1/completions" && request.method == "POST") {
      this->Complete(aExchange);
    } else if (const auto stream = request.PathAfter("/v1/streams/"); !stream.empty()) {
      this->RouteStream(aExchange, stream);
    } else if (request.path == "/v1/kv/import" && request.method == "POST") {
      this->AnswerImport(aExchange);
    } else if (const auto kv = request.PathAfter("/v1/kv/"); !kv.empty()) {
      this->AnswerKv(aExchange, std::string(kv));
    } else if (request.path == "/v1/load") {
      this->AnswerLoad(aExchange);
    } else if (request.path == "/v1/cache-events") {
      this->AnswerCacheEvents(aExchange);
    } else if (request.path == "/v1/orders" && request.method == "POST") {
      this->AnswerOrder(aExchange);
    } else if (request.path == "/stats") {
      this->AnswerStats(aExchange);
    } else {
      aExchange->Respond(404, ErrorBody("unknown_path", "No such path: " + request.path));
    }
  } catch (const json::exception& error) {
    aExchange->Respond(400, ErrorBody("invalid_request", error.what()));
  }
}

void
EngineStandIn::Complete(const Exchange& aExchange)
{
  const auto body = json::parse(aExchange->Request().body);
  if (const auto refuse = this->faults.TryConsume("refuse", aExchange->Request().path)) {
    this->core.CountRefusal();
    aExchange->Respond(503,
                       ErrorBody("overloaded", "The engine does not accept requests at present."));
    return;
  }
  const auto streamId = body.value("stream_id", std::string());
  if (!streamId.empty()) {
    const auto from = body.value("from_token", std::int64_t{ 0 });
    (void)this->Reattach(aExchange, streamId, from, body.at("attempt_id").get<std::string>());
    return;
  }
  auto request = ToCompletionRequest(body);
  const auto version = body.value("version", std::string());
  const auto resolved = this->models.Resolve(body.at("model").get<std::string>(), version,
                                             body.contains("adapter") && body["adapter"].is_string()
                                               ? body["adapter"].get<std::string>()
                                               : std::string());
  if (!resolved) {
    this->core.CountRefusal();
    aExchange->Respond(404, ErrorBody("unknown_model", "The model is not loaded on this engine."));
    return;
  }
  request.question.model = resolved->model;
  request.question.version = resolved->version;
  request.question.adapter = resolved->adapter;
  request.reportedVersion = version.empty() ? resolved->version : version;
  this->Submit(aExchange, std::move(request));
}

bool
EngineStandIn::Reattach(const Exchange& aExchange, const std::string& aStreamId, std::int64_t aFrom,
                        const std::string& aAttemptId)
{
  const auto error = this->core.Reattach(aStreamId, aFrom, aAttemptId, aExchange);
  if (!error.empty()) {
    const int status = error == "unknown_stream" ? 404 : 400;
    aExchange->Respond(status, ErrorBody(error, "The stream cannot be continued at this token."));
  }
  return error.empty();
}

void
EngineStandIn::Submit(const Exchange& aExchange, CompletionRequest aRequest)
{
  const auto words = SplitWords(aRequest.question.prompt).size();
  if (aRequest.maxTokens < 1 ||
      (words + static_cast<std::size_t>(aRequest.maxTokens)) / kBlockTokens + 1 >
        this->settings.kvBlocks) {
    this->core.CountRefusal();
    aExchange->Respond(400,
                       ErrorBody("context_too_long", "Prompt and answer exceed the KV memory."));
    return;
  }
  const auto& path = aExchange->Request().path;
  StreamFaults streamFaults;
  streamFaults.cut = this->faults.TryConsume("cut", path);
  streamFaults.crossed = this->faults.TryConsume("crossed", path);
  streamFaults.skipped = this->faults.TryConsume("skip_token", path);
  if (this->faults.TryConsume("wrong_version", path)) {
    aRequest.reportedVersion = "version-of-somebody-else";
  }
  this->core.Submit(std::move(aRequest), std::move(streamFaults), aExchange);
}

void
EngineStandIn::RouteStream(const Exchange& aExchange, std::string_view aRest)
{
  const auto& method = aExchange->Request().method;
  const auto slash = aRest.find('/');
  const std::string id(aRest.substr(0, slash));
  if (slash != std::string_view::npos && aRest.substr(slash) == "/export" && method == "POST") {
    this->AnswerExport(aExchange, id);
    return;
  }
  const auto tokens = method == "DELETE" ? this->core.Cancel(id) : std::nullopt;
  if (!tokens) {
    aExchange->Respond(404, ErrorBody("unknown_stream", "No such stream: " + id));
    return;
  }
  aExchange->Respond(200, json{ { "stream_id", id }, { "token_count", *tokens } }.dump());
}

void
EngineStandIn::AnswerExport(const Exchange& aExchange, const std::string& aStreamId)
{
  auto chain = this->core.Export(aStreamId);
  if (!chain) {
    aExchange->Respond(404, ErrorBody("unknown_stream", "No such stream: " + aStreamId));
    return;
  }
  const auto bytes = static_cast<std::int64_t>(chain->size()) * this->settings.bytesPerBlock;
  const std::lock_guard lock(this->mutex);
  const auto id = fmt::format("{}-kv{}", this->settings.id, this->nextKv++);
  this->exported[id] = { std::move(*chain), bytes };
  aExchange->Respond(200, json{ { "kv_id", id }, { "bytes", bytes } }.dump());
}

void
EngineStandIn::AnswerKv(const Exchange& aExchange, const std::string& aKvId)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->exported.find(aKvId);
  if (found == this->exported.end()) {
    aExchange->Respond(404, ErrorBody("unknown_kv", "No such export: " + aKvId));
    return;
  }
  json blocks = json::array();
  for (const auto block : found->second.chain) {
    blocks.push_back(ToHex(block));
  }
  aExchange->Respond(
    200, json{ { "kv_id", aKvId }, { "bytes", found->second.bytes }, { "blocks", blocks } }.dump());
}

void
EngineStandIn::AnswerImport(const Exchange& aExchange)
{
  const auto body = json::parse(aExchange->Request().body);
  const auto id = body.at("kv_id").get<std::string>();
  const auto from = body.at("from").get<std::string>();
  this->background.After(std::chrono::milliseconds(0),
                         [this, aExchange, id, from] { this->FetchKv(aExchange, id, from); });
}

void
EngineStandIn::FetchKv(const Exchange& aExchange, const std::string& aKvId,
                       const std::string& aFrom)
{
  const auto base = aFrom.rfind("http", 0) == 0 ? aFrom : "http://" + aFrom;
  const auto answer = Fetch("GET", base + "/v1/kv/" + aKvId, {}, kFetchTimeout);
  if (answer.status != 200) {
    aExchange->Respond(502, ErrorBody("kv_unavailable", "The KV cache could not be fetched."));
    return;
  }
  std::vector<std::uint64_t> chain;
  std::int64_t bytes = 0;
  try {
    const auto body = json::parse(answer.body);
    for (const auto& block : body.at("blocks")) {
      chain.push_back(std::stoull(block.get<std::string>(), nullptr, 16));
    }
    bytes = body.at("bytes").get<std::int64_t>();
  } catch (const std::exception& error) {
    aExchange->Respond(502, ErrorBody("kv_unavailable", error.what()));
    return;
  }
  // No KV data is transferred; only the duration of the transfer is simulated
  const std::chrono::milliseconds transfer(bytes * 1000 / this->settings.kvBytesPerSecond);
  this->background.After(transfer, [this, aExchange, aKvId, bytes, chain = std::move(chain)] {
    const auto stored = this->core.Import(chain);
    aExchange->Respond(200,
                       json{ { "kv_id", aKvId }, { "bytes", bytes }, { "blocks", stored } }.dump());
  });
}

void
EngineStandIn::AnswerLoad(const Exchange& aExchange)
{
  const auto load = this->core.Load();
  json list = json::array();
  for (const auto& model : this->models.List()) {
    list.push_back(ToJson(model));
  }
  const std::lock_guard lock(this->mutex);
  aExchange->Respond(200, json{ { "waiting", load.waiting },
                                { "running", load.running },
                                { "kv_blocks_used", load.blocksUsed },
                                { "kv_blocks_total", this->settings.kvBlocks },
                                { "models", list },
                                { "role", this->role },
                                { "as_of_ms", load.asOfMs } }
                            .dump());
}

void
EngineStandIn::AnswerCacheEvents(const Exchange& aExchange)
{
  std::int64_t start = 0;
  std::int64_t end = 0;
  const auto from = aExchange->Request().QueryNumber("from", 0);
  json list = json::array();
  for (const auto& event : this->core.CacheEvents(from, start, end)) {
    list.push_back({ { "seq", event.sequence },
                     { "kind", event.stored ? "stored" : "evicted" },
                     { "blocks", json::array({ ToHex(event.block) }) } });
  }
  aExchange->Respond(200, json{ { "start", start }, { "end", end }, { "events", list } }.dump());
}

void
EngineStandIn::AnswerOrder(const Exchange& aExchange)
{
  const auto body = json::parse(aExchange->Request().body);
  const auto id = body.at("order_id").get<std::string>();
  const auto number = body.at("fencing").get<std::int64_t>();
  const auto kind = body.at("kind").get<std::string>();
  {
    const std::lock_guard lock(this->mutex);
    if (this->settings.fenced && number < this->fencing) {
      ++this->ordersRefused;
      aExchange->Respond(
        409, json{ { "error",
                     { { "kind", "stale_fencing" },
                       { "message", "An order with a higher fencing number has been accepted." },
                       { "fencing", this->fencing } } } }
               .dump());
      return;
    }
    this->fencing = std::max(this->fencing, number);
    // A repeated order has no effect
    if (!this->orders.emplace(id, number).second) {
      aExchange->Respond(200, json{ { "order_id", id }, { "state", "known" } }.dump());
      return;
    }
    if (kind == "role") {
      this->role = body.at("role").get<std::string>();
    }
  }
  if (kind == "load") {
    const auto model = ToEngineModel(body);
    this->background.After(std::chrono::milliseconds(0),
                           [this, model] { this->ExecuteLoadOrder(model, kMaxWeightRetries); });
  } else if (kind == "unload") {
    this->models.Remove(ToEngineModel(body));
  } else if (kind != "role") {
    aExchange->Respond(400, ErrorBody("invalid_request", "No such kind of order: " + kind));
    return;
  }
  aExchange->Respond(200, json{ { "order_id", id }, { "state", "accepted" } }.dump());
}

void
EngineStandIn::ExecuteLoadOrder(const EngineModel& aModel, int aAttemptsLeft)
{
  if (!this->settings.weightStoreUrl.empty()) {
    const auto url =
      fmt::format("{}/weights/{}/{}", this->settings.weightStoreUrl, aModel.name, aModel.version);
    const auto answer = Fetch("GET", url, {}, kFetchTimeout);
    if (answer.status != 200) {
      if (aAttemptsLeft > 0) {
        this->background.After(
          std::max(answer.retryAfter, kWeightRetryDelay),
          [this, aModel, aAttemptsLeft] { this->ExecuteLoadOrder(aModel, aAttemptsLeft - 1); });
      }
      return;
    }
  }
  this->background.After(this->settings.modelLoadTime,
                         [this, aModel] { this->models.Add(aModel); });
}

void
EngineStandIn::AnswerStats(const Exchange& aExchange)
{
  const auto counters = this->core.Counters();
  const std::lock_guard lock(this->mutex);
  aExchange->Respond(200, json{ { "id", this->settings.id },
                                { "failure_domain", this->settings.failureDomain },
                                { "accepted", counters.accepted },
                                { "refused", counters.refused },
                                { "reattached", counters.reattached },
                                { "finished", counters.finished },
                                { "cancelled", counters.cancelled },
                                { "preempted", counters.preempted },
                                { "diverged_resumes", counters.divergedResumes },
                                { "prompt_tokens", counters.promptTokens },
                                { "prefill_computed", counters.prefillComputed },
                                { "prefill_cached", counters.prefillCached },
                                { "generated", counters.generated },
                                { "recomputed", counters.recomputed },
                                { "orders", this->orders.size() },
                                { "orders_refused", this->ordersRefused },
                                { "fencing", this->fencing } }
                            .dump());
}

} // namespace lagoonward::standins
