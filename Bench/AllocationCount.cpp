#include "Bench/AllocationCount.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::uint64_t allocations = 0;

} // namespace

void*
operator new(std::size_t aSize)
{
  ++allocations;
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

namespace lagoonward::bench {

std::uint64_t
AllocationCount()
{
  return allocations;
}

} // namespace lagoonward::bench
