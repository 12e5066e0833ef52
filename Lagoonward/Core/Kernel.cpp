#include "Lagoonward/Core/Kernel.h"

#include <cassert>

namespace lagoonward {

Result<void>
Kernel::StartAll()
{
  while (this->startedCount < this->services.size()) {
    auto started = this->services[this->startedCount]->Start();
    if (!started) {
      this->StopAll();
      return started.error();
    }
    ++this->startedCount;
  }
  return boost::outcome_v2::success();
}

void
Kernel::DrainAll()
{
  for (std::size_t index = this->startedCount; index > 0; --index) {
    this->services[index - 1]->Drain();
  }
}

void
Kernel::StopAll()
{
  while (this->startedCount > 0) {
    --this->startedCount;
    this->services[this->startedCount]->Stop();
  }
}

void
Kernel::Register(std::unique_ptr<Service> aService)
{
  assert(this->FindAny(aService->Name()) == nullptr);
  this->services.push_back(std::move(aService));
}

Service*
Kernel::FindAny(std::string_view aName) const
{
  for (const auto& service : this->services) {
    if (service->Name() == aName) {
      return service.get();
    }
  }
  return nullptr;
}

} // namespace lagoonward
