#include "Lagoonward/Configuration/StrictJson.h"

#include <set>

namespace lagoonward {

namespace {

using nlohmann::json;

/// Parser callback that detects faults not visible in the parsed value: duplicate members and excessive nesting.
class StructureCheck
{
public:
  explicit StructureCheck(JsonFaults& aFaults)
    : faults(aFaults)
  {
  }

  /// The parser's callback.
  /// @return whether the parser keeps the value
  bool operator()(int /*aDepth*/, json::parse_event_t aEvent, json& aParsed)
  {
    switch (aEvent) {
      case json::parse_event_t::object_start:
      case json::parse_event_t::array_start:
        return this->Open(aEvent == json::parse_event_t::array_start);
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        this->levels.pop_back();
        this->FinishValue();
        return true;
      case json::parse_event_t::key:
        this->RecordKey(aParsed.get_ref<const std::string&>());
        return true;
      case json::parse_event_t::value:
        this->FinishValue();
        return true;
    }
    return true;
  }

private:
  struct Level
  {
    bool isArray = false;
    std::size_t index = 0; ///< Index of the array's current item.
    std::string key;       ///< The object's current member.
    std::set<std::string> keys;
  };

  bool Open(bool aIsArray)
  {
    if (this->levels.size() == kMaxJsonDepth) {
      this->faults.push_back({ this->Pointer(), "nested too deeply" });
    }
    Level level;
    level.isArray = aIsArray;
    this->levels.push_back(std::move(level));
    return this->levels.size() <= kMaxJsonDepth;
  }

  void RecordKey(const std::string& aKey)
  {
    Level& level = this->levels.back();
    level.key = aKey;
    if (!level.keys.insert(aKey).second) {
      this->faults.push_back({ this->Pointer(), "duplicate member" });
    }
  }

  void FinishValue()
  {
    if (!this->levels.empty() && this->levels.back().isArray) {
      ++this->levels.back().index;
    }
  }

  [[nodiscard]] std::string Pointer() const
  {
    std::string pointer;
    for (const Level& level : this->levels) {
      pointer = JoinJsonPointer(pointer, level.isArray ? std::to_string(level.index) : level.key);
    }
    return pointer;
  }

  JsonFaults& faults;
  std::vector<Level> levels;
};

/// The message of the library's exception without its prefix in brackets.
std::string
MessageWithoutPrefix(const json::exception& aException)
{
  const std::string message = aException.what();
  const auto end = message.find("] ");
  return end == std::string::npos ? message : message.substr(end + 2);
}

} // namespace

std::optional<json>
ParseStrictJson(std::string_view aText, JsonFaults& aFaults)
{
  const auto faultsBefore = aFaults.size();
  StructureCheck check(aFaults);
  try {
    json value = json::parse(aText.begin(), aText.end(),
                             [&check](int aDepth, json::parse_event_t aEvent, json& aParsed) {
                               return check(aDepth, aEvent, aParsed);
                             });
    if (aFaults.size() == faultsBefore) {
      return value;
    }
  } catch (const json::exception& exception) {
    aFaults.push_back({ "", MessageWithoutPrefix(exception) });
  }
  return std::nullopt;
}

std::string
JoinJsonPointer(std::string_view aParent, std::string_view aToken)
{
  std::string pointer(aParent);
  pointer += '/';
  for (const char character : aToken) {
    if (character == '~') {
      pointer += "~0";
    } else if (character == '/') {
      pointer += "~1";
    } else {
      pointer += character;
    }
  }
  return pointer;
}

std::string
DescribeFaults(const JsonFaults& aFaults)
{
  std::string text;
  for (const JsonFault& fault : aFaults) {
    text += text.empty() ? "" : "; ";
    text += fault.pointer.empty() ? "" : fault.pointer + ": ";
    text += fault.message;
  }
  return text;
}

} // namespace lagoonward
