#include "Lagoonward/Core/Kernel.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// Appends each call of the kernel to a string: `+` start, `~` drain, `-` stop, then the service's name.
class RecordingService final : public Service
{
public:
  RecordingService(std::string_view aName, std::string& aJournal, bool aFails = false)
    : name(aName)
    , journal(aJournal)
    , fails(aFails)
  {
  }

  [[nodiscard]] std::string_view Name() const override { return this->name; }

  [[nodiscard]] Result<void> Start() override
  {
    if (this->fails) {
      return Error(ErrorKind::Internal, "cannot start");
    }
    this->journal += "+" + std::string(this->name);
    return boost::outcome_v2::success();
  }

  void Drain() override { this->journal += "~" + std::string(this->name); }
  void Stop() override { this->journal += "-" + std::string(this->name); }

private:
  std::string_view name;
  std::string& journal;
  bool fails;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KernelTests)

BOOST_AUTO_TEST_CASE(ServicesStartInOrderAndDrainAndStopInReverse)
{
  std::string journal;
  Kernel kernel;
  kernel.Add(std::make_unique<RecordingService>("a", journal));
  kernel.Add(std::make_unique<RecordingService>("b", journal));
  BOOST_TEST(kernel.StartAll().has_value());
  kernel.DrainAll();
  kernel.StopAll();
  kernel.StopAll();
  BOOST_TEST(journal == "+a+b~b~a-b-a");
}

BOOST_AUTO_TEST_CASE(FailedStartStopsStartedServices)
{
  std::string journal;
  Kernel kernel;
  kernel.Add(std::make_unique<RecordingService>("a", journal));
  kernel.Add(std::make_unique<RecordingService>("b", journal, true));
  BOOST_TEST(!kernel.StartAll().has_value());
  BOOST_TEST(journal == "+a-a");
}

BOOST_AUTO_TEST_CASE(FindReturnsServiceByNameOrNull)
{
  std::string journal;
  Kernel kernel;
  auto& added = kernel.Add(std::make_unique<RecordingService>("a", journal));
  BOOST_TEST(kernel.Find<RecordingService>("a") == &added);
  BOOST_TEST(kernel.Find<RecordingService>("z") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
