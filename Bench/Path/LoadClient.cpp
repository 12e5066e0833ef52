#include "Bench/Path/LoadClient.h"

#include <fmt/format.h>

#include <algorithm>

namespace lagoonward::bench {

namespace {

constexpr int kStatusOk = 200;
constexpr std::size_t kMaximumTailBytes = 64;

} // namespace

/// One request and the observer of its transfer.
class LoadClient::Request final : public HttpTransferObserver
{
public:
  Request(LoadClient& aClient, TrafficLoop& aLoop)
    : client(aClient)
    , loop(aLoop)
  {
  }

  void Start(const HttpTransferRequest& aRequest)
  {
    this->started = std::chrono::steady_clock::now();
    this->loop.StartTransfer(aRequest, *this);
  }

  void OnBytes(int /*aStatus*/, std::string_view aBytes) override
  {
    if (!this->hasFirstByte) {
      this->hasFirstByte = true;
      const std::chrono::duration<double, std::milli> waited =
        std::chrono::steady_clock::now() - this->started;
      this->client.OnFirstByte(waited.count());
    }
    if (aBytes.size() < kMaximumTailBytes) {
      this->tail.append(aBytes);
      this->tail.erase(0, this->tail.size() - std::min(this->tail.size(), kMaximumTailBytes));
    } else {
      this->tail = aBytes.substr(aBytes.size() - kMaximumTailBytes);
    }
  }

  void OnEnd(const TransferEnd& aEnd) override
  {
    const bool isComplete = aEnd.outcome == TransferOutcome::Complete && aEnd.status == kStatusOk &&
                            this->tail.ends_with(this->client.load.expectedTail);
    this->client.OnEnded(
      *this, isComplete,
      fmt::format("status {}: {}, ended with \"{}\"", aEnd.status, aEnd.message, this->tail));
  }

  TrafficLoop& Loop() { return this->loop; }

private:
  LoadClient& client;
  TrafficLoop& loop;
  TimePoint started;
  bool hasFirstByte = false;
  std::string tail; ///< Last bytes of the response.
};

LoadClient::LoadClient(unsigned aThreads)
{
  for (unsigned index = 0; index < aThreads; ++index) {
    this->loops.push_back(std::make_unique<TrafficLoop>(this->clock, HttpClientSettings{}));
    this->loops.back()->Start();
  }
}

LoadClient::~LoadClient()
{
  for (const auto& loop : this->loops) {
    loop->Stop();
  }
}

void
LoadClient::Begin(const Load& aLoad)
{
  {
    const std::scoped_lock lock(this->mutex);
    this->load = aLoad;
    this->requests.clear();
    this->report = {};
  }
  for (int index = 0; index < std::min(aLoad.concurrency, aLoad.total); ++index) {
    TrafficLoop& loop = *this->loops[static_cast<std::size_t>(index) % this->loops.size()];
    loop.Post([this, &loop] { this->StartNext(loop); });
  }
}

void
LoadClient::WaitForFirstBytes(int aCount)
{
  std::unique_lock lock(this->mutex);
  this->reportChanged.wait(lock, [&] {
    return static_cast<int>(this->report.firstByte.size()) + this->report.failed >= aCount;
  });
}

LoadReport
LoadClient::Finish()
{
  std::unique_lock lock(this->mutex);
  this->reportChanged.wait(
    lock, [this] { return this->report.completed + this->report.failed == this->load.total; });
  return std::move(this->report);
}

void
LoadClient::StartNext(TrafficLoop& aLoop)
{
  Request* next = nullptr;
  {
    const std::scoped_lock lock(this->mutex);
    if (static_cast<int>(this->requests.size()) == this->load.total) {
      return;
    }
    this->requests.push_back(std::make_unique<Request>(*this, aLoop));
    next = this->requests.back().get();
  }
  next->Start(this->load.request);
}

void
LoadClient::OnFirstByte(double aMilliseconds)
{
  const std::scoped_lock lock(this->mutex);
  this->report.firstByte.push_back(aMilliseconds);
  this->reportChanged.notify_all();
}

void
LoadClient::OnEnded(Request& aRequest, bool aCompleted, const std::string& aFailure)
{
  TrafficLoop& loop = aRequest.Loop();
  this->StartNext(loop);
  const std::scoped_lock lock(this->mutex);
  this->report.completed += aCompleted ? 1 : 0;
  this->report.failed += aCompleted ? 0 : 1;
  if (!aCompleted && this->report.firstFailure.empty()) {
    this->report.firstFailure = aFailure;
  }
  this->reportChanged.notify_all();
}

} // namespace lagoonward::bench
