#include "Lagoonward/Configuration/StrictJson.h"

#include <utility>
#include <vector>

namespace lagoonward {

namespace {

using nlohmann::json;

/// The message of the library's exception without its prefix in brackets.
std::string_view
MessageWithoutPrefix(const json::exception& aException)
{
  const std::string_view message = aException.what();
  const auto end = message.find("] ");
  return end == std::string_view::npos ? message : message.substr(end + 2);
}

/// Builds a document from the parser's events and ends the parsing at the first fault. The library's own builder does
/// not detect duplicate members; its callback could, but with a callback the library searches the whole object again
/// after each member that is an object or an array.
class DocumentBuilder final : public nlohmann::json_sax<json>
{
public:
  explicit DocumentBuilder(JsonFaults& aFaults)
    : faults(aFaults)
  {
  }

  /// The document, if the parser has accepted the text.
  [[nodiscard]] json& Document() { return this->document; }

  // NOLINTBEGIN(readability-identifier-naming): the base class's names
  bool null() override { return this->AddScalar(nullptr); }
  bool boolean(bool aValue) override { return this->AddScalar(aValue); }
  bool number_integer(json::number_integer_t aValue) override { return this->AddScalar(aValue); }
  bool number_unsigned(json::number_unsigned_t aValue) override { return this->AddScalar(aValue); }
  bool number_float(json::number_float_t aValue, const std::string& /*aText*/) override
  {
    return this->AddScalar(aValue);
  }
  bool string(std::string& aValue) override { return this->AddScalar(std::move(aValue)); }
  bool binary(json::binary_t& aValue) override { return this->AddScalar(std::move(aValue)); }
  bool start_object(std::size_t /*aCount*/) override { return this->Open(json::object()); }
  bool start_array(std::size_t /*aCount*/) override { return this->Open(json::array()); }
  bool end_object() override { return this->Close(); }
  bool end_array() override { return this->Close(); }

  bool key(std::string& aKey) override
  {
    Level& level = this->levels.back();
    auto& members = level.container->get_ref<json::object_t&>();
    const auto [member, isNew] = members.try_emplace(std::move(aKey));
    level.key = &member->first;
    level.member = &member->second;
    if (!isNew) {
      this->faults.Add(this->PointerToNext(), "duplicate member");
    }
    return isNew;
  }

  bool parse_error(std::size_t /*aPosition*/, const std::string& /*aToken*/,
                   const json::exception& aException) override
  {
    this->faults.Add("", MessageWithoutPrefix(aException));
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  /// An object or an array that has not ended yet.
  struct Level
  {
    json* container = nullptr;
    const std::string* key = nullptr; ///< Of an object's current member.
    json* member = nullptr;           ///< Its value, which replaces null.
  };

  template<typename Value>
  bool AddScalar(Value&& aValue)
  {
    static_cast<void>(this->Place(json(std::forward<Value>(aValue))));
    return true;
  }

  bool Open(json aContainer)
  {
    if (this->levels.size() == kMaxJsonDepth) {
      this->faults.Add(this->PointerToNext(), "nested too deeply");
      return false;
    }
    this->levels.push_back({ &this->Place(std::move(aContainer)), nullptr, nullptr });
    return true;
  }

  bool Close()
  {
    this->levels.pop_back();
    return true;
  }

  /// Adds the next value to the innermost container.
  json& Place(json aValue)
  {
    if (this->levels.empty()) {
      this->document = std::move(aValue);
      return this->document;
    }
    const Level& level = this->levels.back();
    if (level.container->is_array()) {
      return level.container->emplace_back(std::move(aValue));
    }
    *level.member = std::move(aValue);
    return *level.member;
  }

  /// The pointer to the value that comes next.
  [[nodiscard]] std::string PointerToNext() const
  {
    std::string pointer;
    for (const Level& level : this->levels) {
      const bool isInnermost = &level == &this->levels.back();
      // The last item of an outer array is the container of the next level
      const std::size_t index = level.container->size() - (isInnermost ? 0 : 1);
      pointer =
        JoinJsonPointer(pointer, level.container->is_array() ? std::to_string(index) : *level.key);
    }
    return pointer;
  }

  JsonFaults& faults;
  json document;
  std::vector<Level> levels;
};

} // namespace

std::optional<json>
ParseStrictJson(std::string_view aText, JsonFaults& aFaults)
{
  DocumentBuilder builder(aFaults);
  if (!json::sax_parse(aText.begin(), aText.end(), &builder)) {
    return std::nullopt;
  }
  return std::move(builder.Document());
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

} // namespace lagoonward
