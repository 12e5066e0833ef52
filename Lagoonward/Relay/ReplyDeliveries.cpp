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
  Delivery& added =
    *this->deliveries.emplace_back(std::make_unique<Delivery>(this->memory, std::move(aCaller)));
  static_cast<void>(added.memory.Set(bytes));
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
