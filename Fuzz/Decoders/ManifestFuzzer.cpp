#include "Lagoonward/Configuration/ManifestReader.h"
#include "Lagoonward/Configuration/ManifestWriter.h"

#include <cstdint>
#include <cstdlib>

using namespace lagoonward;

/// Reading gives either a manifest or its faults, never both; a manifest survives writing and reading unchanged.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const ManifestReadResult reading = ReadManifest(bytes);
  if (reading.manifest.has_value() != reading.faults.IsEmpty()) {
    std::abort();
  }
  if (!reading.manifest) {
    return 0;
  }
  const std::string written = WriteManifest(*reading.manifest).dump();
  const ManifestReadResult again = ReadManifest(written);
  if (!again.manifest || WriteManifest(*again.manifest).dump() != written) {
    std::abort();
  }
  return 0;
}
