#include "Lagoonward/Frontend/AdminApi.h"

#include "Lagoonward/Frontend/AnswerWriters.h"

#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

#include <iterator>

namespace lagoonward {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr std::string_view kRequestPrefix = "/requests/";

void
RespondWithJson(HttpExchange& aExchange, int aStatus, std::string aBody)
{
  aExchange.Respond(aStatus, { { "Content-Type", "application/json" } }, std::move(aBody));
}

} // namespace

AdminApi::AdminApi(HttpServerSettings aServer, std::shared_ptr<ConnectionTable> aConnections,
                   RunService& aRuns, std::function<std::optional<Error>()> aReadiness,
                   std::function<std::string()> aStatus, std::function<void()> aDrain)
  : runs(aRuns)
  , readiness(std::move(aReadiness))
  , status(std::move(aStatus))
  , drain(std::move(aDrain))
  , server(
      std::move(aServer),
      [this](const HttpRequest& aRequest, const HttpExchangePtr& aExchange) {
        this->Handle(aRequest, *aExchange);
      },
      std::move(aConnections))
{
}

std::string_view
AdminApi::Name() const
{
  return kName;
}

Result<void>
AdminApi::Start()
{
  return this->server.Start();
}

void
AdminApi::Stop()
{
  this->server.Stop();
}

void
AdminApi::AddMetrics(std::shared_ptr<prometheus::Collectable> aMetrics)
{
  this->metrics.push_back(std::move(aMetrics));
}

std::uint16_t
AdminApi::Port() const
{
  return this->server.Port();
}

void
AdminApi::Handle(const HttpRequest& aRequest, HttpExchange& aExchange)
{
  const bool isPost = aRequest.method == "POST";
  if (aRequest.path == "/drain") {
    if (!isPost) {
      RespondWithError(aExchange, Error(ErrorKind::MethodNotAllowed, "Use POST."));
      return;
    }
    this->drain();
    RespondWithJson(aExchange, kStatusAccepted, R"({"draining":true})");
    return;
  }
  if (aRequest.method != "GET") {
    RespondWithError(aExchange, Error(ErrorKind::MethodNotAllowed, "Use GET."));
  } else if (aRequest.path == "/healthz") {
    RespondWithJson(aExchange, kStatusOk, R"({"healthy":true})");
  } else if (aRequest.path == "/readyz") {
    this->HandleReady(aExchange);
  } else if (aRequest.path == "/metrics") {
    this->HandleMetrics(aExchange);
  } else if (aRequest.path == "/status") {
    RespondWithJson(aExchange, kStatusOk, this->status());
  } else if (aRequest.path.starts_with(kRequestPrefix)) {
    this->HandleRequest(aRequest.path.substr(kRequestPrefix.size()), aExchange);
  } else {
    RespondWithError(aExchange, Error(ErrorKind::UnknownPath, "There is no such path."));
  }
}

void
AdminApi::HandleReady(HttpExchange& aExchange)
{
  if (const std::optional<Error> unready = this->readiness()) {
    RespondWithError(aExchange, *unready);
  } else {
    RespondWithJson(aExchange, kStatusOk, R"({"ready":true})");
  }
}

void
AdminApi::HandleMetrics(HttpExchange& aExchange)
{
  std::vector<prometheus::MetricFamily> families;
  for (const auto& source : this->metrics) {
    auto collected = source->Collect();
    std::move(collected.begin(), collected.end(), std::back_inserter(families));
  }
  aExchange.Respond(kStatusOk, { { "Content-Type", "text/plain; version=0.0.4" } },
                    prometheus::TextSerializer().Serialize(families));
}

void
AdminApi::HandleRequest(const std::string& aRequestId, HttpExchange& aExchange)
{
  const std::vector<Decision> decisions = this->runs.Journal().Find(aRequestId);
  if (decisions.empty()) {
    RespondWithError(
      aExchange,
      Error(ErrorKind::UnknownPath, "This daemon has no decisions recorded for this request id."));
    return;
  }
  Json list = Json::array();
  for (const Decision& decision : decisions) {
    list.push_back({ { "at_ms", ToUnixMilliseconds(decision.at) }, { "text", decision.text } });
  }
  const Json body{ { "request_id", aRequestId }, { "decisions", std::move(list) } };
  RespondWithJson(aExchange, kStatusOk, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

} // namespace lagoonward
