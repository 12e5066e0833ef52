#include "Lagoonward/Configuration/JsonReader.h"

#include <fmt/format.h>

#include <limits>

namespace lagoonward {

using nlohmann::json;

JsonReader::JsonReader(const json& aValue, std::string aPointer, JsonFaults& aFaults)
  : value(aValue)
  , pointer(std::move(aPointer))
  , faults(aFaults)
{
  if (!this->value.is_object()) {
    this->Fault("", "not an object");
  }
}

bool
JsonReader::Has(std::string_view aName) const
{
  return this->value.is_object() && this->value.contains(aName);
}

const json*
JsonReader::Find(std::string_view aName)
{
  this->requested.emplace(aName);
  if (!this->Has(aName)) {
    return nullptr;
  }
  return &*this->value.find(aName);
}

const json*
JsonReader::Require(std::string_view aName)
{
  const json* found = this->Find(aName);
  if (found == nullptr && this->value.is_object()) {
    this->Fault(aName, "missing");
  }
  return found;
}

std::string
JsonReader::ReadString(std::string_view aName)
{
  const json* found = this->Require(aName);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string()) {
    this->Fault(aName, "not a string");
    return {};
  }
  return found->get<std::string>();
}

bool
JsonReader::ReadBoolean(std::string_view aName)
{
  const json* found = this->Require(aName);
  if (found == nullptr) {
    return false;
  }
  if (!found->is_boolean()) {
    this->Fault(aName, "not true or false");
    return false;
  }
  return found->get<bool>();
}

std::int64_t
JsonReader::ReadInteger(std::string_view aName, IntegerRange aRange)
{
  const json* found = this->Require(aName);
  if (found == nullptr) {
    return 0;
  }
  if (!found->is_number_integer()) {
    this->Fault(aName, "not an integer");
    return 0;
  }

  // Unsigned values of more than 63 bits would overflow
  const auto limit = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const bool fits = !found->is_number_unsigned() || found->get<std::uint64_t>() <= limit;
  const auto number = fits ? found->get<std::int64_t>() : 0;
  if (!fits || number < aRange.lowest || number > aRange.highest) {
    this->Fault(aName, fmt::format("not between {} and {}", aRange.lowest, aRange.highest));
    return 0;
  }
  return number;
}

double
JsonReader::ReadNumber(std::string_view aName, NumberRange aRange)
{
  const json* found = this->Require(aName);
  if (found == nullptr) {
    return 0;
  }
  if (!found->is_number()) {
    this->Fault(aName, "not a number");
    return 0;
  }
  const auto number = found->get<double>();
  if (!(number >= aRange.lowest && number <= aRange.highest)) {
    this->Fault(aName, fmt::format("not between {} and {}", aRange.lowest, aRange.highest));
    return 0;
  }
  return number;
}

std::int64_t
JsonReader::ReadInteger(std::string_view aName, IntegerRange aRange, std::int64_t aDefault)
{
  return this->Find(aName) == nullptr ? aDefault : this->ReadInteger(aName, aRange);
}

double
JsonReader::ReadNumber(std::string_view aName, NumberRange aRange, double aDefault)
{
  return this->Find(aName) == nullptr ? aDefault : this->ReadNumber(aName, aRange);
}

std::string
JsonReader::ReadOptionalString(std::string_view aName)
{
  const json* found = this->Find(aName);
  return found == nullptr || found->is_null() ? std::string() : this->ReadString(aName);
}

std::vector<std::string>
JsonReader::ReadStrings(std::string_view aName)
{
  std::vector<std::string> items;
  const json* array = this->RequireArray(aName);
  if (array == nullptr) {
    return items;
  }
  for (std::size_t index = 0; index < array->size(); ++index) {
    const json& item = (*array)[index];
    if (!item.is_string()) {
      this->FaultAt(JoinJsonPointer(this->PointerOf(aName), std::to_string(index)), "not a string");
    }
    items.push_back(item.is_string() ? item.get<std::string>() : std::string());
  }
  return items;
}

void
JsonReader::RejectUnknown()
{
  if (!this->value.is_object()) {
    return;
  }
  for (const auto& member : this->value.items()) {
    if (!this->requested.contains(member.key())) {
      this->Fault(member.key(), "unknown field");
    }
  }
}

void
JsonReader::Fault(std::string_view aName, std::string_view aMessage)
{
  this->FaultAt(this->PointerOf(aName), aMessage);
}

void
JsonReader::FaultAt(std::string_view aPointer, std::string_view aMessage)
{
  this->faults.Add(aPointer, aMessage);
}

std::string
JsonReader::PointerOf(std::string_view aName) const
{
  return aName.empty() ? this->pointer : JoinJsonPointer(this->pointer, aName);
}

const json*
JsonReader::RequireArray(std::string_view aName)
{
  const json* found = this->Require(aName);
  if (found == nullptr) {
    return nullptr;
  }
  if (!found->is_array()) {
    this->Fault(aName, "not an array");
    return nullptr;
  }
  return found;
}

} // namespace lagoonward
