#pragma once

#include "Lagoonward/Configuration/StrictJson.h"

#include <cstdint>
#include <set>

namespace lagoonward {

/// A range of integers; both bounds are included.
struct IntegerRange
{
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
};

/// A range of numbers; both bounds are included.
struct NumberRange
{
  double lowest = 0;
  double highest = 0;
};

/// Reads the members of one JSON object and collects all faults with their pointers instead of stopping
/// at the first one. A missing or invalid member reads as the empty value of its type; the caller checks
/// the faults before it uses the result.
class JsonReader
{
public:
  /// Reports a fault if aValue is not an object; no further faults are then reported for its members.
  /// Both references must outlive the reader.
  JsonReader(const nlohmann::json& aValue, std::string aPointer, JsonFaults& aFaults);

  [[nodiscard]] bool Has(std::string_view aName) const;

  /// The member, or nullptr and a fault if it is missing.
  const nlohmann::json* Require(std::string_view aName);

  /// The member, or nullptr.
  const nlohmann::json* Find(std::string_view aName);

  std::string ReadString(std::string_view aName);
  bool ReadBoolean(std::string_view aName);
  std::int64_t ReadInteger(std::string_view aName, IntegerRange aRange);
  double ReadNumber(std::string_view aName, NumberRange aRange);
  std::vector<std::string> ReadStrings(std::string_view aName);

  /// Optional members: aDefault if the member is missing.
  std::int64_t ReadInteger(std::string_view aName, IntegerRange aRange, std::int64_t aDefault);
  double ReadNumber(std::string_view aName, NumberRange aRange, double aDefault);

  /// Optional member: empty if it is missing or null.
  std::string ReadOptionalString(std::string_view aName);

  /// Reads an object member with aRead(JsonReader&); an empty value if it is missing.
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
  /// @return the items in order, including invalid ones so that indices match the array
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

  /// Reports each member that was not read or searched for.
  void RejectUnknown();

  /// Reports a fault of one member, or of the object itself if aName is empty.
  void Fault(std::string_view aName, std::string_view aMessage);

  /// Reports a fault of a nested value by its full pointer.
  void FaultAt(std::string_view aPointer, std::string_view aMessage);

  [[nodiscard]] std::string PointerOf(std::string_view aName) const;

private:
  const nlohmann::json* RequireArray(std::string_view aName);

  const nlohmann::json& value;
  std::string pointer;
  JsonFaults& faults;
  std::set<std::string, std::less<>> requested; ///< Members read or searched for so far.
};

} // namespace lagoonward
