#include "Lagoonward/Core/UniqueFd.h"

#include <sys/resource.h>
#include <unistd.h>

#include <utility>

namespace lagoonward {

UniqueFd::UniqueFd(int aDescriptor)
  : descriptor(aDescriptor)
{
}

UniqueFd::UniqueFd(UniqueFd&& aOther) noexcept
  : descriptor(std::exchange(aOther.descriptor, -1))
{
}

UniqueFd&
UniqueFd::operator=(UniqueFd&& aOther) noexcept
{
  if (this != &aOther) {
    this->Reset();
    this->descriptor = std::exchange(aOther.descriptor, -1);
  }
  return *this;
}

UniqueFd::~UniqueFd()
{
  this->Reset();
}

int
UniqueFd::Get() const
{
  return this->descriptor;
}

bool
UniqueFd::IsValid() const
{
  return this->descriptor >= 0;
}

int
UniqueFd::Release()
{
  return std::exchange(this->descriptor, -1);
}

void
UniqueFd::Reset()
{
  if (this->descriptor >= 0) {
    ::close(this->descriptor);
    this->descriptor = -1;
  }
}

std::size_t
ProcessDescriptorLimit()
{
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

} // namespace lagoonward
