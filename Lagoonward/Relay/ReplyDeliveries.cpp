#include "Lagoonward/Relay/ReplyDeliveries.h"

#include <utility>

namespace lagoonward {

ReplyDeliveries::Delivery::Delivery(ResponseMemory& aMemory, std::unique_ptr<RelayCaller> aCaller)
  : caller(std::move(aCaller))
  , memory(aMemory, {}, [this] { this->caller->Discard(); })
{
}

ReplyDeliveries::ReplyDeliveries(ResponseMemory& aMemory)
  : memory(aMemory)
{
}

void
ReplyDeliveries::Add(std::unique_ptr<RelayCaller> aCaller)
{
  const std::size_t bytes = aCaller->HeldBytes();
  if (bytes == 0) {
    return;
  }
  // Most have been delivered long before the next update; they must not cost others their memory
  if (this->memory.Held() + bytes > this->memory.Maximum() / 2) {
    this->Update();
  }
  auto added = std::make_unique<Delivery>(this->memory, std::move(aCaller));
  if (added->memory.Set(bytes)) {
    this->deliveries.push_back(std::move(added));
  }
}

void
ReplyDeliveries::Update()
{
  std::erase_if(this->deliveries, [](const std::unique_ptr<Delivery>& aEach) {
    const std::size_t bytes = aEach->caller->HeldBytes();
    return bytes == 0 || !aEach->memory.Set(bytes);
  });
}

} // namespace lagoonward
