#include "Lagoonward/Cli/ManifestFile.h"

#include "Lagoonward/Configuration/ManifestReader.h"

#include <fstream>
#include <ostream>

namespace lagoonward {

namespace {

/// Reads at most one byte more than the size limit of a manifest, so that the manifest reader can detect a larger file.
std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string text(kMaxManifestBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

} // namespace

std::optional<Manifest>
LoadManifest(const std::string& aPath, std::ostream& aErr)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    aErr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  auto result = ReadManifest(*text);
  for (const ManifestFault& fault : result.faults.Kept()) {
    aErr << aPath << ": " << (fault.pointer.empty() ? "(document)" : fault.pointer) << ": "
         << fault.message << '\n';
  }
  return std::move(result.manifest);
}

} // namespace lagoonward
