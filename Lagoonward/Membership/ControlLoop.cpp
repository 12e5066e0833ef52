#include "Lagoonward/Membership/ControlLoop.h"

#include "Lagoonward/Core/ProcessEnd.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <condition_variable>
#include <ctime>

namespace lagoonward {

namespace {

constexpr int kEventsPerWait = 64;
constexpr int kLongestWaitMilliseconds = 1000;

/// Lets one thread wait for a task that runs on another.
struct Completion
{
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
};

/// Signals the completion when the task that owns this guard is destroyed.
class CompletionGuard
{
public:
  explicit CompletionGuard(std::shared_ptr<Completion> aCompletion)
    : completion(std::move(aCompletion))
  {
  }

  CompletionGuard(const CompletionGuard&) = delete;
  CompletionGuard& operator=(const CompletionGuard&) = delete;

  ~CompletionGuard()
  {
    const std::lock_guard lock(this->completion->mutex);
    this->completion->done = true;
    this->completion->changed.notify_one();
  }

private:
  std::shared_ptr<Completion> completion;
};

} // namespace

LoopHandle::LoopHandle(ControlLoop& aLoop)
  : loop(&aLoop)
{
}

bool
LoopHandle::Post(std::function<void()> aTask)
{
  const std::lock_guard lock(this->mutex);
  if (this->loop == nullptr) {
    return false;
  }
  this->loop->Post(std::move(aTask));
  return true;
}

void
LoopHandle::Detach()
{
  const std::lock_guard lock(this->mutex);
  this->loop = nullptr;
}

ControlLoop::ControlLoop(const Clock& aClock)
  : clock(aClock)
  , poller(::epoll_create1(EPOLL_CLOEXEC))
  , wakeUp(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
  , handle(std::make_shared<LoopHandle>(*this))
{
}

ControlLoop::~ControlLoop()
{
  this->handle->Detach();
  this->Stop();
}

Result<void>
ControlLoop::Start()
{
  if (!this->poller.IsValid() || !this->wakeUp.IsValid()) {
    return Error(ErrorKind::Internal,
                 "cannot create the epoll and event descriptors of the control loop");
  }
  auto watchResult = this->Watch(this->wakeUp.Get(), EPOLLIN, [this](std::uint32_t) {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes = ::read(this->wakeUp.Get(), &count, sizeof(count));
  });
  if (!watchResult) {
    return watchResult;
  }
  this->running = true;
  this->joinable = true;
  this->thread = std::thread([this] {
    NameThread("control");
    this->Loop();
  });
  return boost::outcome_v2::success();
}

void
ControlLoop::Stop()
{
  this->running = false;
  if (this->thread.joinable()) {
    this->Wake();
    this->thread.join();
  }
  std::vector<Task> dropped;
  {
    const std::lock_guard lock(this->postedMutex);
    dropped.swap(this->posted);
  }
  this->joinable = false;
}

void
ControlLoop::Post(Task aTask)
{
  {
    const std::lock_guard lock(this->postedMutex);
    this->posted.push_back(std::move(aTask));
  }
  this->Wake();
}

void
ControlLoop::Run(const Task& aTask)
{
  if (this->IsInLoop() || !this->joinable) {
    aTask();
    return;
  }
  // The guard is destroyed after the task has run, or with a task that is dropped when the loop stops
  auto completion = std::make_shared<Completion>();
  this->Post([release = std::make_shared<CompletionGuard>(completion), &aTask] { aTask(); });
  std::unique_lock lock(completion->mutex);
  while (!completion->done && this->joinable) {
    completion->changed.wait_for(lock, Milliseconds(10));
  }
}

ControlLoop::TimerId
ControlLoop::After(Milliseconds aDelay, Task aTask)
{
  return this->AddTimer(aDelay, Milliseconds(0), std::move(aTask));
}

ControlLoop::TimerId
ControlLoop::Every(Milliseconds aInterval, Task aTask)
{
  return this->AddTimer(aInterval, std::max(aInterval, Milliseconds(1)), std::move(aTask));
}

void
ControlLoop::Cancel(TimerId aTimer)
{
  const auto due = this->timerDue.find(aTimer);
  if (due == this->timerDue.end()) {
    return;
  }
  const auto range = this->timers.equal_range(due->second);
  for (auto timer = range.first; timer != range.second; ++timer) {
    if (timer->second.id == aTimer) {
      this->timers.erase(timer);
      break;
    }
  }
  this->timerDue.erase(due);
}

Result<void>
ControlLoop::Watch(int aDescriptor, std::uint32_t aEvents, DescriptorHandler aHandler)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.fd = aDescriptor;
  if (::epoll_ctl(this->poller.Get(), EPOLL_CTL_ADD, aDescriptor, &event) != 0) {
    return Error(ErrorKind::Internal, "cannot add the descriptor to the epoll set");
  }
  this->handlers[aDescriptor] = std::make_shared<DescriptorHandler>(std::move(aHandler));
  return boost::outcome_v2::success();
}

void
ControlLoop::ChangeEvents(int aDescriptor, std::uint32_t aEvents)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.fd = aDescriptor;
  ::epoll_ctl(this->poller.Get(), EPOLL_CTL_MOD, aDescriptor, &event);
}

void
ControlLoop::Unwatch(int aDescriptor)
{
  ::epoll_ctl(this->poller.Get(), EPOLL_CTL_DEL, aDescriptor, nullptr);
  this->handlers.erase(aDescriptor);
}

bool
ControlLoop::IsInLoop() const
{
  return std::this_thread::get_id() == this->threadId.load();
}

std::chrono::nanoseconds
ControlLoop::CpuTime() const
{
  timespec cpuTime{};
  if (!this->running || clock_gettime(this->cpuClock.load(), &cpuTime) != 0) {
    return std::chrono::nanoseconds(0);
  }
  return Seconds(cpuTime.tv_sec) + std::chrono::nanoseconds(cpuTime.tv_nsec);
}

const std::shared_ptr<LoopHandle>&
ControlLoop::Handle() const
{
  return this->handle;
}

void
ControlLoop::Loop()
{
  this->threadId = std::this_thread::get_id();
  clockid_t threadClock = CLOCK_THREAD_CPUTIME_ID;
  if (pthread_getcpuclockid(pthread_self(), &threadClock) == 0) {
    this->cpuClock = threadClock;
  }
  std::array<epoll_event, kEventsPerWait> events;
  while (this->running) {
    const int count =
      ::epoll_wait(this->poller.Get(), events.data(), events.size(), this->WaitMilliseconds());
    for (int index = 0; index < count; ++index) {
      // A handler may unwatch any descriptor, including its own
      const auto found = this->handlers.find(events.at(index).data.fd);
      if (found != this->handlers.end()) {
        const auto handler = found->second;
        (*handler)(events.at(index).events);
      }
    }
    this->RunPosted();
    this->RunTimers();
  }
}

void
ControlLoop::RunPosted()
{
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(this->postedMutex);
    tasks.swap(this->posted);
  }
  for (const Task& task : tasks) {
    task();
  }
}

void
ControlLoop::RunTimers()
{
  const TimePoint now = this->clock.Now();
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    auto node = this->timers.extract(this->timers.begin());
    Timer& timer = node.mapped();
    if (timer.interval > Milliseconds(0)) {
      // Schedules from now, not from the missed due time, to avoid a burst of runs after a pause
      const TimePoint due = now + timer.interval;
      const Task task = timer.task;
      this->timerDue[timer.id] = due;
      this->timers.emplace(due, std::move(timer));
      task();
    } else {
      this->timerDue.erase(timer.id);
      timer.task();
    }
  }
}

int
ControlLoop::WaitMilliseconds() const
{
  if (this->timers.empty()) {
    return kLongestWaitMilliseconds;
  }
  const auto remaining = this->timers.begin()->first - this->clock.Now();
  const auto rounded = std::chrono::ceil<Milliseconds>(remaining).count();
  return static_cast<int>(std::clamp<std::int64_t>(rounded, 0, kLongestWaitMilliseconds));
}

ControlLoop::TimerId
ControlLoop::AddTimer(Milliseconds aDelay, Milliseconds aInterval, Task aTask)
{
  const TimerId id = this->nextTimer++;
  const TimePoint due = this->clock.Now() + aDelay;
  this->timers.emplace(due, Timer{ id, aInterval, std::move(aTask) });
  this->timerDue[id] = due;
  return id;
}

void
ControlLoop::Wake()
{
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto bytes = ::write(this->wakeUp.Get(), &one, sizeof(one));
}

} // namespace lagoonward
