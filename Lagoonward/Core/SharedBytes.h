#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lagoonward {

/// Immutable bytes that several owners share without a copy, for example the body of a request and the transfers that send
/// it. May carry a resource that is released together with the bytes.
class SharedBytes
{
public:
  SharedBytes() = default;

  /// @param aText  implicit, as most bytes are written as a string
  SharedBytes(std::string aText)
    : SharedBytes(std::move(aText), nullptr)
  {
  }

  SharedBytes(const char* aText)
    : SharedBytes(std::string(aText))
  {
  }

  /// @param aResource  destroyed with the last owner of the bytes; may be null
  SharedBytes(std::string aText, std::shared_ptr<const void> aResource)
    : content(std::make_shared<const Content>(Content{ std::move(aResource), std::move(aText) }))
  {
  }

  [[nodiscard]] const std::string& Text() const
  {
    static const std::string kEmpty;
    return this->content == nullptr ? kEmpty : this->content->text;
  }

  /// What the bytes carry; null if nothing. Keeps it, but not the bytes.
  [[nodiscard]] std::shared_ptr<const void> Resource() const
  {
    return this->content == nullptr ? nullptr : this->content->resource;
  }

  [[nodiscard]] std::size_t Size() const { return this->Text().size(); }
  [[nodiscard]] bool IsEmpty() const { return this->Text().empty(); }

  operator std::string_view() const { return this->Text(); }

private:
  struct Content
  {
    std::shared_ptr<const void>
      resource; ///< Released after the text, as members are destroyed in reverse.
    std::string text;
  };

  std::shared_ptr<const Content> content;
};

} // namespace lagoonward
