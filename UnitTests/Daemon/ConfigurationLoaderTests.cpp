#include "Lagoonward/Daemon/ConfigurationLoader.h"

#include "UnitTests/Support/LoopbackPeers.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// A loader whose first text waits until released.
struct Loader
{
  Loader()
    : loader(
        [this](std::string_view aText) -> Result<RelayConfiguration> {
          if (aText == "first") {
            this->released.get_future().wait();
          }
          if (aText == "malformed") {
            return Error(ErrorKind::InvalidManifest, "malformed");
          }
          return RelayConfiguration{};
        },
        [this](const LoadedConfiguration& aLoaded) {
          const std::lock_guard lock(this->mutex);
          this->loaded.push_back(aLoaded.text + (aLoaded.fromPeer ? " from peer" : "") +
                                 (aLoaded.configuration ? "" : " refused"));
        },
        this->clock)
  {
    this->loader.Start();
  }

  std::vector<std::string> Loaded()
  {
    const std::lock_guard lock(this->mutex);
    return this->loaded;
  }

  SystemClock clock;
  std::promise<void> released;
  std::mutex mutex;
  std::vector<std::string> loaded;
  ConfigurationLoader loader;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationLoaderTests)

// Guards against a control thread that decodes a large configuration and answers no other daemon meanwhile
BOOST_AUTO_TEST_CASE(SubmitReturnsWhileATextIsDecodedAndOnlyTheNewestFollows)
{
  Loader loader;
  loader.loader.Submit("first", false);
  std::this_thread::sleep_for(Milliseconds(50));
  loader.loader.Submit("second", false);
  loader.loader.Submit("third", false);
  loader.loader.Submit("fourth", true);
  BOOST_TEST(loader.Loaded().empty());
  loader.released.set_value();
  Await([&] { return loader.Loaded().size() == 3; });
  const std::vector<std::string> expected{ "first", "third", "fourth from peer" };
  BOOST_TEST(loader.Loaded() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(SameTextIsDecodedOnceUnlessItWasRefused)
{
  Loader loader;
  loader.released.set_value();
  for (const char* text : { "a", "a", "malformed", "a", "malformed", "b" }) {
    loader.loader.Submit(text, false);
    std::this_thread::sleep_for(Milliseconds(30));
  }
  Await([&] { return loader.Loaded().size() >= 4; });
  const std::vector<std::string> expected{ "a", "malformed refused", "malformed refused", "b" };
  BOOST_TEST(loader.Loaded() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
