#include "Lagoonward/Wire/TrafficLoop.h"

#include "Lagoonward/Core/ProcessEnd.h"
#include "Lagoonward/Wire/CurlTransfer.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace lagoonward {

namespace {

constexpr int kMaximumEvents = 128;
constexpr int kMaximumWaitMilliseconds = 1000;

std::uint32_t
ToEpollEvents(int aWhat)
{
  std::uint32_t events = 0;
  if (aWhat == CURL_POLL_IN || aWhat == CURL_POLL_INOUT) {
    events |= EPOLLIN;
  }
  if (aWhat == CURL_POLL_OUT || aWhat == CURL_POLL_INOUT) {
    events |= EPOLLOUT;
  }
  return events;
}

int
ToCurlEvents(std::uint32_t aEvents)
{
  int flags = 0;
  if ((aEvents & (EPOLLIN | EPOLLHUP)) != 0) {
    flags |= CURL_CSELECT_IN;
  }
  if ((aEvents & EPOLLOUT) != 0) {
    flags |= CURL_CSELECT_OUT;
  }
  if ((aEvents & EPOLLERR) != 0) {
    flags |= CURL_CSELECT_ERR;
  }
  return flags;
}

} // namespace

void
TrafficLoop::MultiDeleter::operator()(CURLM* aMulti) const
{
  curl_multi_cleanup(aMulti);
}

TrafficLoop::TrafficLoop(const Clock& aClock, const HttpClientSettings& aSettings)
  : clock(aClock)
  , settings(aSettings)
  , multi(curl_multi_init())
  , epoll(epoll_create1(EPOLL_CLOEXEC))
  , wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  curl_multi_setopt(this->multi.get(), CURLMOPT_SOCKETFUNCTION, &TrafficLoop::OnSocket);
  curl_multi_setopt(this->multi.get(), CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi.get(), CURLMOPT_TIMERFUNCTION, &TrafficLoop::OnTimer);
  curl_multi_setopt(this->multi.get(), CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->multi.get(), CURLMOPT_MAXCONNECTS,
                    static_cast<long>(aSettings.maximumIdleConnections));
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = this->wakeup.Get();
  epoll_ctl(this->epoll.Get(), EPOLL_CTL_ADD, this->wakeup.Get(), &event);
}

TrafficLoop::~TrafficLoop()
{
  this->Stop();
  for (auto& [id, transfer] : this->transfers) {
    curl_multi_remove_handle(this->multi.get(), transfer->easy.get());
  }
}

void
TrafficLoop::Start()
{
  this->thread = std::thread([this] {
    NameThread("traffic");
    this->Run();
  });
}

void
TrafficLoop::Stop()
{
  if (!this->thread.joinable()) {
    return;
  }
  {
    const std::scoped_lock lock(this->tasksMutex);
    this->stopping = true;
  }
  this->Wake();
  this->thread.join();
}

void
TrafficLoop::Post(Task aTask)
{
  bool wasEmpty = false;
  {
    const std::scoped_lock lock(this->tasksMutex);
    wasEmpty = this->tasks.empty();
    this->tasks.push_back(std::move(aTask));
  }
  if (wasEmpty) {
    this->Wake();
  }
}

TrafficLoop::TimerId
TrafficLoop::RunAfter(Milliseconds aDelay, Task aTask)
{
  const TimerId id = this->nextTimer++;
  const auto entry =
    this->timers.emplace(this->clock.Now() + aDelay, std::make_pair(id, std::move(aTask)));
  this->timersById.emplace(id, entry);
  return id;
}

void
TrafficLoop::CancelTimer(TimerId aTimer)
{
  const auto found = this->timersById.find(aTimer);
  if (found != this->timersById.end()) {
    this->timers.erase(found->second);
    this->timersById.erase(found);
  }
}

TransferId
TrafficLoop::StartTransfer(const HttpTransferRequest& aRequest, HttpTransferObserver& aObserver)
{
  return this->AddTransfer(aRequest, &aObserver);
}

void
TrafficLoop::StartDetachedTransfer(const HttpTransferRequest& aRequest)
{
  assert(aRequest.timeout > Milliseconds(0));
  this->AddTransfer(aRequest, nullptr);
}

TransferId
TrafficLoop::AddTransfer(const HttpTransferRequest& aRequest, HttpTransferObserver* aObserver)
{
  auto transfer = std::make_unique<CurlTransfer>();
  transfer->id = this->nextTransfer++;
  transfer->observer = aObserver;
  transfer->Prepare(aRequest, this->settings, this->idleSockets);
  const TransferId id = transfer->id;
  this->transfers.emplace(id, std::move(transfer));
  this->pendingStarts.push_back(id);
  return id;
}

void
TrafficLoop::CancelTransfer(TransferId aTransfer)
{
  const auto found = this->transfers.find(aTransfer);
  if (found == this->transfers.end()) {
    return;
  }
  found->second->observer = nullptr;
  this->pendingCancels.push_back(aTransfer);
}

void
TrafficLoop::StopTransfer(TransferId aTransfer)
{
  const auto found = this->transfers.find(aTransfer);
  if (found != this->transfers.end()) {
    found->second->isStopped = true;
    this->pendingStops.push_back(aTransfer);
  }
}

const Clock&
TrafficLoop::GetClock() const
{
  return this->clock;
}

void
TrafficLoop::Run()
{
  for (;;) {
    {
      const std::scoped_lock lock(this->tasksMutex);
      if (this->stopping) {
        return;
      }
    }
    this->WaitAndDispatch();
    this->HandleFinishedTransfers();
    this->RunDueTimers();
    this->RunPostedTasks();
    this->EndStoppedTransfers();
    this->ApplyStartsAndCancels();
  }
}

void
TrafficLoop::EndStoppedTransfers()
{
  // An observer may stop others in OnEnd()
  while (!this->pendingStops.empty()) {
    const TransferId transfer = this->pendingStops.back();
    this->pendingStops.pop_back();
    // libcurl has already ended one that was stopped in a callback of its own
    this->EndTransfer(transfer, CURLE_WRITE_ERROR);
  }
}

void
TrafficLoop::EndTransfer(TransferId aTransfer, int aResult)
{
  // Remove the transfer first, because the observer may start another one or destroy itself
  const auto found = this->transfers.find(aTransfer);
  if (found == this->transfers.end()) {
    return;
  }
  const std::unique_ptr<CurlTransfer> transfer = std::move(found->second);
  this->transfers.erase(found);
  curl_multi_remove_handle(this->multi.get(), transfer->easy.get());
  if (transfer->observer != nullptr) {
    transfer->observer->OnEnd(transfer->DescribeEnd(static_cast<CURLcode>(aResult)));
  }
}

void
TrafficLoop::ApplyStartsAndCancels()
{
  for (const TransferId id : this->pendingStarts) {
    const auto found = this->transfers.find(id);
    if (found != this->transfers.end()) {
      curl_multi_add_handle(this->multi.get(), found->second->easy.get());
    }
  }
  this->pendingStarts.clear();
  for (const TransferId id : this->pendingCancels) {
    const auto found = this->transfers.find(id);
    if (found != this->transfers.end()) {
      curl_multi_remove_handle(this->multi.get(), found->second->easy.get());
      this->transfers.erase(found);
    }
  }
  this->pendingCancels.clear();
}

void
TrafficLoop::WaitAndDispatch()
{
  std::array<epoll_event, kMaximumEvents> events{};
  const int count =
    epoll_wait(this->epoll.Get(), events.data(), kMaximumEvents, this->NextWaitMilliseconds());
  int running = 0;
  for (int index = 0; index < count; ++index) {
    const auto& event = events.at(static_cast<std::size_t>(index));
    if (event.data.fd == this->wakeup.Get()) {
      std::uint64_t ignored = 0;
      static_cast<void>(::read(this->wakeup.Get(), &ignored, sizeof(ignored)));
      continue;
    }
    curl_multi_socket_action(this->multi.get(), event.data.fd, ToCurlEvents(event.events),
                             &running);
  }
  if (this->clock.Now() >= this->curlTimeout) {
    this->curlTimeout = TimePoint::max();
    curl_multi_socket_action(this->multi.get(), CURL_SOCKET_TIMEOUT, 0, &running);
  }
}

int
TrafficLoop::NextWaitMilliseconds() const
{
  TimePoint next = this->curlTimeout;
  if (!this->timers.empty()) {
    next = std::min(next, this->timers.begin()->first);
  }
  const TimePoint now = this->clock.Now();
  if (next <= now) {
    return 0;
  }
  if (next - now > Milliseconds(kMaximumWaitMilliseconds)) {
    return kMaximumWaitMilliseconds;
  }
  // Round up, so that the timer is due when the wait ends
  return static_cast<int>(std::chrono::ceil<Milliseconds>(next - now).count());
}

void
TrafficLoop::RunDueTimers()
{
  const TimePoint now = this->clock.Now();
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const auto first = this->timers.begin();
    const Task task = std::move(first->second.second);
    this->timersById.erase(first->second.first);
    this->timers.erase(first);
    task();
  }
}

void
TrafficLoop::RunPostedTasks()
{
  std::vector<Task> batch;
  {
    const std::scoped_lock lock(this->tasksMutex);
    batch.swap(this->tasks);
  }
  for (const Task& task : batch) {
    task();
  }
}

void
TrafficLoop::HandleFinishedTransfers()
{
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi.get(), &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode result = message->data.result;
    CurlTransfer* finished = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
    assert(finished != nullptr);

    if (finished->ExtractNeedsNewConnection()) {
      curl_multi_remove_handle(this->multi.get(), finished->easy.get());
      curl_multi_add_handle(this->multi.get(), finished->easy.get());
      continue;
    }
    this->idleSockets.Record(finished->easy.get());
    this->EndTransfer(finished->id, result);
  }
}

void
TrafficLoop::Wake() const
{
  const std::uint64_t one = 1;
  static_cast<void>(::write(this->wakeup.Get(), &one, sizeof(one)));
}

int
TrafficLoop::OnSocket(CURL* /*aEasy*/, curl_socket_t aSocket, int aWhat, void* aLoop,
                      void* aRegistered)
{
  auto& loop = *static_cast<TrafficLoop*>(aLoop);
  if (aWhat == CURL_POLL_REMOVE) {
    epoll_ctl(loop.epoll.Get(), EPOLL_CTL_DEL, aSocket, nullptr);
    curl_multi_assign(loop.multi.get(), aSocket, nullptr);
    return 0;
  }
  epoll_event event{};
  event.events = ToEpollEvents(aWhat);
  event.data.fd = aSocket;
  const int operation = aRegistered == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_ctl(loop.epoll.Get(), operation, aSocket, &event);
  // A non-null value marks the socket as registered with epoll
  curl_multi_assign(loop.multi.get(), aSocket, aLoop);
  return 0;
}

int
TrafficLoop::OnTimer(CURLM* /*aMulti*/, long aMilliseconds, void* aLoop)
{
  auto& loop = *static_cast<TrafficLoop*>(aLoop);
  loop.curlTimeout =
    aMilliseconds < 0 ? TimePoint::max() : loop.clock.Now() + Milliseconds(aMilliseconds);
  return 0;
}

} // namespace lagoonward
