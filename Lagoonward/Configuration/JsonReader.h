#pragma once

#include "Lagoonward/Configuration/StrictJson.h"

#include <cstdint>
#include <set>

namespace lagoonward {

/// A closed range of integers.
struct IntegerRange
{
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
};

/// A closed range of numbers.
struct NumberRange
{
  double lowest = 0;
  double highest = 0;
};

/// Reads the members of one JSON object and collects every fault with its pointer instead of
/// stopping at the first. A member that is missing or faulty reads as its type's empty value;
/// the caller looks at the faults before it uses what it read.
class JsonReader
{
public:
  /// Reports a fault if aValue is not an object; every member then counts as absent, silently.
  /// Both references must outlive the reader.
  JsonReader(const nlohmann::json& aValue, std::string aPointer, JsonFaults& aFaults);

  [[nodiscard]] bool Has(std::string_view aName) const;

  /// The member, or nullptr with a fault when it is missing.
  const nlohmann::json* Require(std::string_view aName);

  /// The member, or nullptr.
  const nlohmann::json* Find(std::string_view aName);

  std::string ReadString(std::string_view aName);
  bool ReadBoolean(std::string_view aName);
  std::int64_t ReadInteger(std::string_view aName, IntegerRange aRange);
  double ReadNumber(std::string_view aName, NumberRange aRange);
  std::vector<std::string> ReadStrings(std::string_view aName);

  /// Optional members: aDefault when the member is missing.
  std::int64_t ReadInteger(std::string_view aName, IntegerRange aRange, std::int64_t aDefault);
  double ReadNumber(std::string_view aName, NumberRange aRange, double aDefault);

  /// Optional member: empty when it is missing or null.
  std::string ReadOptionalString(std::string_view aName);

  /// Reads an object member with aRead(JsonReader&); an empty value when it is missing.
  template<typename Read>
  auto ReadObject(std::string_view aName, Read aRead)
  {
    const nlohmann::json* member = this->Require(aName);
    if (member == nullptr) {
      return decltype(aRead(*this)){};
    }
    JsonReader reader(*member, this->PointerOf(aName), this->faults);
    return aRead(reader);
  }

  /// Reads each item of an array member of objects with aReadItem(JsonReader&).
  /// @return the items, in order, faulty ones included, so that indices stay true
  template<typename ReadItem>
  auto ReadObjects(std::string_view aName, ReadItem aReadItem)
  {
    std::vector<decltype(aReadItem(*this))> items;
    const nlohmann::json* array = this->RequireArray(aName);
    if (array == nullptr) {
      return items;
    }
    const std::string arrayPointer = this->PointerOf(aName);
    for (std::size_t index = 0; index < array->size(); ++index) {
      JsonReader item((*array)[index], JoinJsonPointer(arrayPointer, std::to_string(index)),
                      this->faults);
      items.push_back(aReadItem(item));
    }
    return items;
  }

  /// Reports each member that was never asked for.
  void RejectUnknown();

  /// Reports a fault of one member, or of the object itself when aName is empty.
  void Fault(std::string_view aName, std::string aMessage);

  /// Reports a fault of a value further down, by its whole pointer.
  void FaultAt(std::string aPointer, std::string aMessage);

  [[nodiscard]] std::string PointerOf(std::string_view aName) const;

private:
  const nlohmann::json* RequireArray(std::string_view aName);

  const nlohmann::json& value;
  std::string pointer;
  JsonFaults& faults;
  std::set<std::string, std::less<>> known; ///< Members asked for so far.
};

} // namespace lagoonward
