#include "Lagoonward/Daemon/PeerKeys.h"

#include "Lagoonward/Core/Log.h"

#include <sodium.h>

#include <array>

namespace lagoonward {

namespace {

const Log kLog("daemon");

/// The key ring text when none is given.
std::string
MakeOpenKey(const std::string& aCluster)
{
  std::array<unsigned char, KeyRing::kKeyBytes> key{};
  crypto_generichash(key.data(), key.size(),
                     reinterpret_cast<const unsigned char*>(aCluster.data()), aCluster.size(),
                     nullptr, 0);
  std::array<char, KeyRing::kKeyBytes * 2 + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), key.data(), key.size());
  return std::string("0:") + hex.data();
}

} // namespace

Result<KeyRing>
ParsePeerKeys(const std::string& aText, const std::string& aCluster)
{
  if (aText.empty()) {
    kLog.Warning("No peer keys are set; whoever knows the cluster's name can speak as a daemon.");
  }
  return KeyRing::Parse(aText.empty() ? MakeOpenKey(aCluster) : aText, aCluster);
}

} // namespace lagoonward
