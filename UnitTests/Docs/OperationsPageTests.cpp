#include "Lagoonward/Attempts/RunMetrics.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Settings/SettingsReader.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace lagoonward;

namespace {

std::string
ReadPage()
{
  std::ifstream file(LAGOONWARD_SOURCE_DIR "/docs/OPERATIONS.md");
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperationsPageTests)

BOOST_AUTO_TEST_CASE(OperationsPageListsEverySetting)
{
  const std::string page = ReadPage();
  for (const SettingRule& rule : SettingsReader::Rules()) {
    BOOST_TEST(page.find("| `--" + rule.name + " ") != std::string::npos, rule.name);
  }
}

BOOST_AUTO_TEST_CASE(OperationsPageListsEveryErrorKindWithItsHttpStatus)
{
  const std::string page = ReadPage();
  for (const ErrorRule& rule : GetErrorRules()) {
    const std::string row = fmt::format("| `{}` | {} |", rule.name, rule.httpStatus);
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
}

BOOST_AUTO_TEST_CASE(OperationsPageListsEveryMetricOfRunMetrics)
{
  const std::string page = ReadPage();
  const SystemClock clock;
  const FleetStore fleet;
  const RunService runs({}, clock, fleet);
  for (const prometheus::MetricFamily& family : RunMetrics(runs).Collect()) {
    BOOST_TEST(page.find("| `" + family.name + "` |") != std::string::npos, family.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
