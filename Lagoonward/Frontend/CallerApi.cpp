#include "Lagoonward/Frontend/CallerApi.h"

#include "Lagoonward/Frontend/AnswerWriters.h"

#include <algorithm>
#include <thread>

namespace lagoonward {

namespace {

const Log kLog("callers");

constexpr std::string_view kMarketHeader = "Lagoonward-Market";
constexpr std::size_t kMaximumMarketNameLength = 64;
constexpr Milliseconds kDrainPollInterval{ 10 };

bool
IsValidMarketName(std::string_view aName)
{
  return aName.size() <= kMaximumMarketNameLength &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
         });
}

} // namespace

CallerApi::CallerApi(HttpServerSettings aServer, std::shared_ptr<ConnectionTable> aConnections,
                     const CallSettings& aCalls, Milliseconds aDrainNotice, const Clock& aClock,
                     MarketDirectory& aMarkets, RunService& aRuns,
                     std::function<void(const std::string& aMarket)> aOnUnknownMarket)
  : reader(aCalls, aClock)
  , drainNotice(aDrainNotice)
  , markets(aMarkets)
  , runs(aRuns)
  , onUnknownMarket(std::move(aOnUnknownMarket))
  , server(
      std::move(aServer),
      [this](const HttpRequest& aRequest, const HttpExchangePtr& aExchange) {
        this->Handle(aRequest, aExchange);
      },
      std::move(aConnections))
{
}

std::string_view
CallerApi::Name() const
{
  return kName;
}

Result<void>
CallerApi::Start()
{
  return this->server.Start();
}

void
CallerApi::Drain()
{
  // The load balancer needs this time to detect that the daemon is no longer ready
  std::this_thread::sleep_for(this->drainNotice);
  this->server.StopListening();
  kLog.Info("Stopped accepting connections; waiting for {} open requests.",
            this->server.OpenExchanges());
  while (this->server.OpenExchanges() > 0) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

void
CallerApi::Stop()
{
  this->server.Stop();
}

std::uint16_t
CallerApi::Port() const
{
  return this->server.Port();
}

int
CallerApi::OpenRequests() const
{
  return this->server.OpenExchanges();
}

void
CallerApi::Handle(const HttpRequest& aRequest, const HttpExchangePtr& aExchange)
{
  const bool isCompletion =
    aRequest.path == CallReader::kCompletionPath || aRequest.path == CallReader::kChatPath;
  const bool isService = aRequest.path.starts_with(CallReader::kServicePrefix);
  if (!isCompletion && !isService) {
    RespondWithError(*aExchange, Error(ErrorKind::UnknownPath, "There is no such path."));
    return;
  }
  if (aRequest.method != "POST") {
    RespondWithError(*aExchange, Error(ErrorKind::MethodNotAllowed, "Use POST."));
    return;
  }
  if (isCompletion) {
    this->HandleCompletion(aRequest, aExchange);
  } else {
    this->HandleService(aRequest, aExchange);
  }
}

void
CallerApi::HandleCompletion(const HttpRequest& aRequest, const HttpExchangePtr& aExchange)
{
  const auto market = this->FindMarket(aRequest);
  if (!market) {
    RespondWithError(*aExchange, market.error());
    return;
  }
  const ConfigurationPtr inForce = market.value()->ConfigurationInForce();
  auto request = this->reader.ReadCompletion(aRequest, *inForce);
  if (!request) {
    RespondWithError(*aExchange, request.error());
    return;
  }
  std::shared_ptr<AnswerSubscriber> writer;
  if (request.value().format.stream) {
    writer = std::make_shared<EventAnswerWriter>(aExchange, request.value().format);
  } else {
    writer = std::make_shared<JsonAnswerWriter>(aExchange, request.value().format);
  }
  this->runs.Submit(std::move(request.value().call), market.value(), writer);
}

void
CallerApi::HandleService(const HttpRequest& aRequest, const HttpExchangePtr& aExchange)
{
  const auto market = this->FindMarket(aRequest);
  if (!market) {
    RespondWithError(*aExchange, market.error());
    return;
  }
  const ConfigurationPtr inForce = market.value()->ConfigurationInForce();
  auto call = this->reader.ReadService(aRequest, *inForce);
  if (!call) {
    RespondWithError(*aExchange, call.error());
    return;
  }
  this->runs.Submit(std::move(call.value()), market.value(),
                    std::make_shared<ServiceAnswerWriter>(aExchange));
}

Result<MarketPtr>
CallerApi::FindMarket(const HttpRequest& aRequest)
{
  const std::string name(aRequest.Header(kMarketHeader));
  if (name.empty()) {
    const std::vector<MarketPtr> inForce = this->markets.ConfiguredMarkets();
    if (inForce.size() == 1) {
      return inForce.front();
    }
    if (inForce.empty()) {
      return Error(ErrorKind::NoConfiguration, "No configuration is in force on this daemon yet.");
    }
    return Error(ErrorKind::InvalidRequest,
                 "Several markets are in force; name one of them in Lagoonward-Market.");
  }
  if (!IsValidMarketName(name)) {
    return Error(ErrorKind::UnknownMarket, "Lagoonward-Market is not a valid market name.");
  }
  const MarketPtr market = this->markets.Find(name);
  if (market == nullptr) {
    this->onUnknownMarket(name);
    return Error(ErrorKind::NoConfiguration,
                 "The market's configuration is not known yet; it is being read.");
  }
  if (market->ConfigurationInForce() != nullptr) {
    return market;
  }
  if (market->IsKnownUnconfigured()) {
    return Error(ErrorKind::UnknownMarket, "No manifest was published for this market.");
  }
  return Error(ErrorKind::NoConfiguration,
               "The market's configuration is not known yet; it is being read.");
}

} // namespace lagoonward
