#include "Lagoonward/Configuration/ManifestReader.h"
#include "Lagoonward/Configuration/ManifestWriter.h"
#include "UnitTests/Support/SampleManifest.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using lagoonward::testing::SampleManifestJson;

namespace {

/// The pointers of all faults in order, separated by spaces.
std::string
PointersOf(std::string_view aText)
{
  std::string pointers;
  const ManifestReadResult reading = ReadManifest(aText);
  for (const auto& fault : reading.faults.Kept()) {
    pointers += (pointers.empty() ? "" : " ") + fault.pointer;
  }
  return pointers;
}

/// The pointers of the faults after a change to a valid manifest.
std::string
AfterChange(const std::string& aPointer, const nlohmann::json& aValue)
{
  auto manifest = SampleManifestJson();
  manifest[nlohmann::json::json_pointer(aPointer)] = aValue;
  return PointersOf(manifest.dump());
}

} // namespace

BOOST_AUTO_TEST_SUITE(ManifestReaderTests)

BOOST_AUTO_TEST_CASE(ValidManifestIsUnchangedByWriteAndRead)
{
  const auto reading = ReadManifest(SampleManifestJson().dump());
  BOOST_TEST_REQUIRE(reading.manifest.has_value());
  BOOST_TEST(reading.manifest->FindModel("permit", "")->adapters[0].versions[0] == "2");
  BOOST_TEST(WriteManifest(*reading.manifest) == SampleManifestJson());
}

BOOST_AUTO_TEST_CASE(AllFaultsAreReportedTogether)
{
  auto manifest = SampleManifestJson();
  manifest.erase("region");
  manifest["classes"][0]["deadline_ms"] = 0;
  manifest["clients"][0]["key_sha256"] = "short";
  manifest["extra/field"] = 1;
  BOOST_TEST(PointersOf(manifest.dump()) ==
             "/region /classes/0/deadline_ms /clients/0/key_sha256 /extra~1field");
}

BOOST_AUTO_TEST_CASE(WrongTypesAndRangesAreFaults)
{
  BOOST_TEST(AfterChange("/market", "a/b") == "/market");
  BOOST_TEST(AfterChange("/failure_domains", nlohmann::json::array()) == "/failure_domains");
  BOOST_TEST(AfterChange("/failure_domains/1", "bergen-a") == "/failure_domains/1");
  BOOST_TEST(AfterChange("/failure_domains/1", 7) == "/failure_domains/1");
  BOOST_TEST(AfterChange("/models/0/name", "permit:x") == "/models/0/name");
  BOOST_TEST(AfterChange("/models/0/min_endpoints", 1.5) == "/models/0/min_endpoints");
  BOOST_TEST(AfterChange("/models/0/min_endpoints", 18446744073709551615U) ==
             "/models/0/min_endpoints");
  BOOST_TEST(AfterChange("/models/0/adapters/0/versions", nlohmann::json::array()) ==
             "/models/0/adapters/0/versions");
  BOOST_TEST(AfterChange("/services/0/repeatable", "yes") == "/services/0/repeatable");
  BOOST_TEST(AfterChange("/classes/0/first_token_ms", 6000) == "/classes/0/deadline_ms");
  BOOST_TEST(AfterChange("/clients/0/weight", -1) == "/clients/0/weight");
  BOOST_TEST(AfterChange("/objective", nlohmann::json::parse(
                                         R"({"cost":0,"recomputed_tokens":0})")) == "/objective");
  BOOST_TEST(AfterChange("/classes", nlohmann::json::parse("[1]")) == "/classes/0");
}

BOOST_AUTO_TEST_CASE(ContradictingEntriesAreFaults)
{
  auto manifest = SampleManifestJson();
  manifest["clients"].push_back(manifest["clients"][0]);
  manifest["models"].push_back(manifest["models"][0]);
  BOOST_TEST(PointersOf(manifest.dump()) ==
             "/models/1/version /clients/1/name /clients/1/key_sha256");
}

BOOST_AUTO_TEST_CASE(InvalidJsonTextIsRejected)
{
  BOOST_TEST(ReadManifest("").faults.Count() == 1U);
  BOOST_TEST(ReadManifest("[]").faults.Count() == 1U);
  BOOST_TEST(ReadManifest("{\"market\":\"\xff\"}").faults.Count() == 1U);
  BOOST_TEST(ReadManifest(SampleManifestJson().dump() + "x").faults.Count() == 1U);
  BOOST_TEST(!ReadManifest(std::string(100'000, '[')).faults.IsEmpty());
  const auto twice = R"({"a":[{"b":1,"b":2}]})";
  BOOST_TEST(PointersOf(twice) == "/a/0/b");
}

BOOST_AUTO_TEST_SUITE_END()
