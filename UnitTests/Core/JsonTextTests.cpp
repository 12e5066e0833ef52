#include "Lagoonward/Core/JsonText.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(JsonTextTests)

BOOST_AUTO_TEST_CASE(AppendedTextEqualsLibraryOutputForEveryByte)
{
  using Json = nlohmann::json;
  // Every byte value alone, within ASCII text and after a two-byte UTF-8 character; most are invalid UTF-8 alone
  for (int byte = 0; byte < 256; ++byte) {
    const std::string alone(1, static_cast<char>(byte));
    for (const std::string& text : { alone, "ab" + alone + "cd", "\xc3\xa5" + alone }) {
      std::string written = "x";
      AppendJsonText(written, text);
      BOOST_TEST(written == "x" + Json(text).dump(-1, ' ', false, Json::error_handler_t::replace));
    }
  }
}

BOOST_AUTO_TEST_CASE(QuotesBackslashesControlAndNonAsciiBytesAreNotPlainText)
{
  BOOST_TEST(IsPlainJsonText(" outfall, {9}~"));
  for (const char* text : { "\"", "\\", "\n", "\x7f", "\xc3\xa5" }) {
    BOOST_TEST(!IsPlainJsonText(text));
  }
}

BOOST_AUTO_TEST_SUITE_END()
