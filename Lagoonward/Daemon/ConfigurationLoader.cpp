#include "Lagoonward/Daemon/ConfigurationLoader.h"

#include "Lagoonward/Core/ProcessEnd.h"

#include <utility>

namespace lagoonward {

ConfigurationLoader::ConfigurationLoader(Decode aDecode, Handler aOnLoaded, const Clock& aClock)
  : decode(std::move(aDecode))
  , onLoaded(std::move(aOnLoaded))
  , clock(aClock)
{
}

ConfigurationLoader::~ConfigurationLoader()
{
  this->Stop();
}

void
ConfigurationLoader::Start()
{
  this->thread = std::thread([this] {
    NameThread("configuration");
    this->Run();
  });
}

void
ConfigurationLoader::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
ConfigurationLoader::Submit(std::string aText, bool aFromPeer)
{
  {
    const std::lock_guard lock(this->mutex);
    (aFromPeer ? this->fromPeer : this->fromSource) = std::move(aText);
  }
  this->changed.notify_all();
}

void
ConfigurationLoader::Run()
{
  for (;;) {
    std::optional<std::string> source;
    std::optional<std::string> peer;
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait(lock, [this] { return this->stopping || this->HasWork(); });
      if (this->stopping) {
        return;
      }
      source = std::exchange(this->fromSource, std::nullopt);
      peer = std::exchange(this->fromPeer, std::nullopt);
    }
    if (source) {
      this->Load(std::move(*source), false);
    }
    if (peer) {
      this->Load(std::move(*peer), true);
    }
  }
}

void
ConfigurationLoader::Load(std::string aText, bool aFromPeer)
{
  if (aText == this->lastText) {
    return;
  }
  const TimePoint startedAt = this->clock.Now();
  LoadedConfiguration loaded{ this->decode(aText), {}, aFromPeer, Milliseconds(0) };
  loaded.decodeTime = std::chrono::floor<Milliseconds>(this->clock.Now() - startedAt);
  if (loaded.configuration) {
    this->lastText = aText;
  }
  loaded.text = std::move(aText);
  this->onLoaded(std::move(loaded));
}

} // namespace lagoonward
