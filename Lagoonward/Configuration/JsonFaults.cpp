#include "Lagoonward/Configuration/JsonFaults.h"

#include "Lagoonward/Core/TextLimits.h"

#include <fmt/format.h>

namespace lagoonward {

namespace {

/// Of the description of several faults, less the last one listed.
constexpr std::size_t kMaximumDescriptionBytes = 1000;

} // namespace

void
JsonFaults::Add(std::string_view aPointer, std::string_view aMessage)
{
  ++this->count;
  if (this->kept.size() < kMaximumKept) {
    this->kept.push_back(
      { ShortenText(aPointer, kMaximumTextBytes), ShortenText(aMessage, kMaximumTextBytes) });
  }
}

void
JsonFaults::AddBelow(std::string_view aPointer, const JsonFaults& aFaults)
{
  for (const JsonFault& fault : aFaults.Kept()) {
    this->Add(std::string(aPointer) + fault.pointer, fault.message);
  }
  this->count += aFaults.Count() - aFaults.Kept().size();
}

std::string
DescribeFaults(const JsonFaults& aFaults)
{
  std::string text;
  std::size_t described = 0;
  for (const JsonFault& fault : aFaults.Kept()) {
    if (text.size() >= kMaximumDescriptionBytes) {
      break;
    }
    text += text.empty() ? "" : "; ";
    text += fault.pointer.empty() ? "" : fault.pointer + ": ";
    text += fault.message;
    ++described;
  }
  if (described < aFaults.Count()) {
    text += fmt::format("; and {} more faults", aFaults.Count() - described);
  }
  return text;
}

} // namespace lagoonward
