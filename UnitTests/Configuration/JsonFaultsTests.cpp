#include "Lagoonward/Configuration/JsonFaults.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(JsonFaultsTests)

BOOST_AUTO_TEST_CASE(FaultsAreDescribedInOrder)
{
  JsonFaults faults;
  BOOST_TEST(faults.IsEmpty());
  faults.Add("/a", "missing");
  faults.Add("", "not an object");
  BOOST_TEST(faults.Count() == 2U);
  BOOST_TEST(DescribeFaults(faults) == "/a: missing; not an object");
}

BOOST_AUTO_TEST_CASE(FaultsBelowAPointerAreAdded)
{
  JsonFaults inner;
  inner.Add("/a", "missing");
  JsonFaults outer;
  outer.AddBelow("/routes/3", inner);
  BOOST_TEST(DescribeFaults(outer) == "/routes/3/a: missing");
}

/// Guards against memory, answers and log lines that grow with what a document from outside contains.
BOOST_AUTO_TEST_CASE(ManyLongFaultsTakeLittleMemory)
{
  JsonFaults faults;
  const std::string longText(100'000, 'x');
  for (int index = 0; index < 10'000; ++index) {
    faults.Add(longText, longText);
  }
  JsonFaults outer;
  outer.AddBelow("/a", faults);
  for (const JsonFaults& each : { faults, outer }) {
    BOOST_TEST(each.Count() == 10'000U);
    BOOST_TEST(each.Kept().size() == JsonFaults::kMaximumKept);
    BOOST_TEST(each.Kept().front().pointer.size() < 300U);
    BOOST_TEST(each.Kept().front().message.size() < 300U);
    BOOST_TEST(DescribeFaults(each).size() < 2'000U);
    BOOST_TEST(DescribeFaults(each).ends_with(" more faults"));
  }
}

BOOST_AUTO_TEST_SUITE_END()
