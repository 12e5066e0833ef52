#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Relay/RelayConfiguration.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace lagoonward {

/// A decoded configuration and where it came from.
struct LoadedConfiguration
{
  Result<RelayConfiguration> configuration;
  std::string text;
  bool fromPeer = false;
  Milliseconds decodeTime{ 0 };
};

/// Decodes configurations on a thread of its own, as decoding a large one takes a small host several times as long as
/// other daemons wait for an answer of the control thread. Of the texts that arrive while one is decoded only the newest
/// of each origin is decoded next.
class ConfigurationLoader
{
public:
  using Decode = std::function<Result<RelayConfiguration>(std::string_view aText)>;
  using Handler = std::function<void(LoadedConfiguration aLoaded)>;

  /// @param aOnLoaded  called on the loader's thread for each text that was decoded or refused
  ConfigurationLoader(Decode aDecode, Handler aOnLoaded, const Clock& aClock);
  ~ConfigurationLoader();
  ConfigurationLoader(const ConfigurationLoader&) = delete;
  ConfigurationLoader& operator=(const ConfigurationLoader&) = delete;

  void Start();
  void Stop();

  /// Queues a text, unless it is the one decoded last: the same one arrives several times, from the source and from
  /// peers. Any thread.
  void Submit(std::string aText, bool aFromPeer);

private:
  void Run();
  [[nodiscard]] bool HasWork() const { return this->fromSource || this->fromPeer; }
  void Load(std::string aText, bool aFromPeer);

  Decode decode;
  Handler onLoaded;
  const Clock& clock;
  std::thread thread;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;                 ///< This and the following two are guarded by mutex.
  std::optional<std::string> fromSource; ///< Newest text read from the source and not yet decoded.
  std::optional<std::string> fromPeer;   ///< The same, received from a peer.
  std::string lastText;                  ///< Last valid text. Used on the thread only.
};

} // namespace lagoonward
