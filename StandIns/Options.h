#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "StandIns/Fleet/FleetStandIn.h"

#include <boost/program_options.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// Reads and validates a manifest file. Throws std::invalid_argument with the first error if the file
/// cannot be read or the manifest is invalid.
[[nodiscard]] Manifest
ReadManifestFile(const std::string& aFile);

/// Command-line flags of an engine. The options write into this object, which must outlive the parse.
class EngineOptions
{
public:
  /// Adds the flags to aDescription.
  void Describe(boost::program_options::options_description& aDescription);

  /// The parsed settings. Throws std::invalid_argument on a malformed model.
  [[nodiscard]] EngineSettings Settings() const;

private:
  EngineSettings settings;
  std::vector<std::string> models;
  std::int64_t stepBaseUs = 15000;
  std::int64_t stepPerStreamUs = 150;
  std::int64_t loadLagMs = 500;
  std::int64_t cacheEventDelayMs = 500;
  std::int64_t modelLoadMs = 1000;
  std::int64_t orphanMs = 10000;
};

/// Command-line flags of a platform.
class PlatformOptions
{
public:
  void Describe(boost::program_options::options_description& aDescription);
  [[nodiscard]] PlatformSettings Settings() const;

private:
  PlatformSettings settings;
  std::vector<std::string> failureDomains;
  std::vector<std::string> machineClasses;
  std::int64_t retentionMs = 600000;
  std::int64_t hostListLagMs = 2000;
  std::int64_t startMs = 1500;
  std::int64_t noticeDelayMs = 0;
  std::int64_t weightReadMs = 300;
};

/// Command-line flags of a fleet, including those of its platform and engines.
class FleetOptions
{
public:
  void Describe(boost::program_options::options_description& aDescription);

  /// The parsed settings. Models, services, failure domains and machine classes come from the manifest
  /// if one is given. Throws std::exception if the manifest cannot be read.
  [[nodiscard]] FleetSettings Settings(const ListenAddress& aListen) const;

private:
  EngineOptions engine;
  PlatformOptions platform;
  std::string manifestFile;
  int engines = 4;
  int servicesPerName = 2;
  std::int64_t serviceWorkMs = 20;
  bool onDemand = false;
};

} // namespace lagoonward::standins
