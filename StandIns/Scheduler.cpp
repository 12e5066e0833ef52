#include "StandIns/Scheduler.h"

namespace lagoonward::standins {

Scheduler::Scheduler()
  : thread([this] { this->Run(); })
{
}

Scheduler::~Scheduler()
{
  this->Stop();
}

void
Scheduler::After(std::chrono::milliseconds aDelay, std::function<void()> aFunction)
{
  const std::lock_guard lock(this->mutex);
  this->pending.emplace(std::chrono::steady_clock::now() + aDelay, std::move(aFunction));
  this->changed.notify_one();
}

void
Scheduler::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_one();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
Scheduler::Run()
{
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    if (this->pending.empty()) {
      this->changed.wait(lock);
      continue;
    }
    const auto first = this->pending.begin();
    if (std::chrono::steady_clock::now() < first->first) {
      this->changed.wait_until(lock, first->first);
      continue;
    }
    const auto function = std::move(first->second);
    this->pending.erase(first);
    lock.unlock();
    function();
    lock.lock();
  }
}

} // namespace lagoonward::standins
