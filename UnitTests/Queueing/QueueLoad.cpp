#include "UnitTests/Queueing/QueueLoad.h"

#include <utility>

namespace lagoonward::testing {

namespace {

/// Step in which the work of an endpoint with a changing speed is summed.
constexpr double kWorkStep = 0.005;

/// Interval between two calls of RequestQueue::Update().
constexpr double kUpdateInterval = 0.02;

std::uint32_t
ToMilliseconds(double aSeconds)
{
  return static_cast<std::uint32_t>(aSeconds * 1000);
}

} // namespace

QueueLoad::QueueLoad(int aEndpoints, RequestQueueSettings aSettings)
  : queue(aSettings, this->clock)
  , endpoints(aEndpoints)
{
  std::vector<PoolEndpoint> list;
  list.reserve(static_cast<std::size_t>(aEndpoints));
  for (int index = 0; index < aEndpoints; ++index) {
    list.push_back({ static_cast<std::uint64_t>(index + 1), kSlots });
  }
  this->queue.SetEndpoints(list);
}

void
QueueLoad::At(double aSeconds, std::function<void()> aRun)
{
  this->events.push({ aSeconds, std::move(aRun) });
}

std::vector<LoadResult>
QueueLoad::Play(const std::vector<LoadSource>& aSources, double aSeconds, double aWarmUp)
{
  std::vector<LoadResult> results(aSources.size());
  for (std::size_t index = 0; index < aSources.size(); ++index) {
    this->Arrive(aSources[index], results[index], aSeconds, aWarmUp);
  }
  const std::function<void()> update = [&] {
    this->queue.Update();
    this->At(this->now + kUpdateInterval, update);
  };
  this->At(0, update);
  while (this->events.top().at < aSeconds + this->deadline) {
    const Event event = this->events.top();
    this->events.pop();
    this->clock.Advance(std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(event.at - this->now)));
    this->now = event.at;
    event.run();
  }
  return results;
}

void
QueueLoad::Arrive(const LoadSource& aSource, LoadResult& aResult, double aEnd, double aWarmUp)
{
  const double factor = aSource.shape ? aSource.shape(this->now) : 1;
  const double gap =
    std::exponential_distribution<double>(aSource.perSecond * factor)(this->random);
  if (this->now + gap >= aEnd) {
    return;
  }
  this->At(this->now + gap, [this, &aSource, &aResult, aEnd, aWarmUp] {
    this->Send(aSource, aResult, aWarmUp);
    this->Arrive(aSource, aResult, aEnd, aWarmUp);
  });
}

void
QueueLoad::Send(const LoadSource& aSource, LoadResult& aResult, double aWarmUp)
{
  SlotMessage request;
  request.run = 1;
  request.lease = this->nextLease++;
  request.leaseMs = 10'000;
  request.targetMs = ToMilliseconds(this->target);
  request.budgetMs = ToMilliseconds(this->deadline);
  request.priority = aSource.priority;
  request.account = aSource.account;
  LoadResult* result = this->now >= aWarmUp ? &aResult : nullptr;
  if (result != nullptr) {
    ++result->offered;
  }
  this->Ask(request, this->probes, this->now, result);
}

void
QueueLoad::Ask(SlotMessage aRequest, int aProbesLeft, double aArrivedAt, LoadResult* aResult)
{
  aRequest.waitMs = aProbesLeft > 0 ? 0 : ToMilliseconds(this->deadline);
  this->queue.Handle(aRequest,
                     [this, aRequest, aProbesLeft, aArrivedAt, aResult](const SlotReply& aReply) {
                       if (aReply.answer == SlotAnswer::Granted) {
                         this->Run(aReply.endpoint, aRequest, aArrivedAt, aResult);
                       } else if (aProbesLeft > 0) {
                         this->At(this->now, [this, aRequest, aProbesLeft, aArrivedAt, aResult] {
                           this->Ask(aRequest, aProbesLeft - 1, aArrivedAt, aResult);
                         });
                       } else if (aResult != nullptr) {
                         aResult->refusalSeconds += this->now - aArrivedAt;
                       }
                     });
}

void
QueueLoad::Run(std::uint64_t aEndpoint, const SlotMessage& aRequest, double aArrivedAt,
               LoadResult* aResult)
{
  this->At(this->EndOfWork(static_cast<int>(aEndpoint) - 1),
           [this, aRequest, aEndpoint, aArrivedAt, aResult] {
             const double took = this->now - aArrivedAt;
             if (aResult != nullptr) {
               aResult->served += took <= this->deadline ? 1 : 0;
               aResult->inTime += took <= this->target ? 1 : 0;
             }
             SlotMessage end = aRequest;
             end.action = SlotAction::Complete;
             end.endpoint = aEndpoint;
             this->queue.Handle(end, [](const SlotReply&) {});
           });
}

double
QueueLoad::EndOfWork(int aEndpoint) const
{
  if (!this->speed) {
    return this->now + kWork;
  }
  double done = 0;
  double end = this->now;
  while (done < kWork) {
    done += kWorkStep * this->speed(aEndpoint, end);
    end += kWorkStep;
  }
  return end;
}

} // namespace lagoonward::testing
