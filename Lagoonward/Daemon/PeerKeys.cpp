#include "Lagoonward/Daemon/PeerKeys.h"

#include "Lagoonward/Core/Log.h"

#include <sodium.h>

#include <array>

namespace lagoonward {

namespace {

const Log kLog("daemon");

/// The text of a key ring with one key, derived from the cluster's name.
std::string
MakeKeyOfName(const std::string& aCluster)
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
    kLog.Warning("No peer keys set; a process that knows the cluster's name can act as a daemon.");
  }
  return KeyRing::Parse(aText.empty() ? MakeKeyOfName(aCluster) : aText, aCluster);
}

} // namespace lagoonward
