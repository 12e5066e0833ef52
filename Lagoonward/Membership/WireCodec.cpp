#include "Lagoonward/Membership/WireCodec.h"

namespace lagoonward {

ReadBuffer::ReadBuffer(std::string_view aBytes)
{
  // The base class requires mutable pointers, but never writes through them without overflow()
  char* const begin = const_cast<char*>(aBytes.data()); // NOLINT
  this->setg(begin, begin, begin + aBytes.size());
}

std::size_t
ReadBuffer::Remaining() const
{
  return static_cast<std::size_t>(this->egptr() - this->gptr());
}

WriteBuffer::WriteBuffer(std::string& aTarget)
  : target(aTarget)
{
}

std::streamsize
WriteBuffer::xsputn(const char* aBytes, std::streamsize aCount)
{
  this->target.append(aBytes, static_cast<std::size_t>(aCount));
  return aCount;
}

WriteBuffer::int_type
WriteBuffer::overflow(int_type aByte)
{
  if (!traits_type::eq_int_type(aByte, traits_type::eof())) {
    this->target.push_back(traits_type::to_char_type(aByte));
  }
  return traits_type::not_eof(aByte);
}

} // namespace lagoonward
