#include "Lagoonward/Configuration/ManifestReader.h"

#include <algorithm>
#include <set>

namespace lagoonward {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kSha256Digits = 64;
constexpr IntegerRange kDurationRange{ 1, 7L * 24 * 3600 * 1000 }; ///< Milliseconds, up to a week.
constexpr IntegerRange kPriorityRange{ -1000, 1000 };
constexpr IntegerRange kEndpointsRange{ 0, 100'000 };
constexpr IntegerRange kConcurrentRange{ 0, 1'000'000 };
constexpr NumberRange kRateRange{ 0, 1e9 };
constexpr NumberRange kPriceRange{ 0, 1e6 };
constexpr NumberRange kWeightRange{ 1e-6, 1e6 };
constexpr NumberRange kObjectiveRange{ 0, 1e6 };

/// Characters that a name must not contain, in addition to control characters.
constexpr std::string_view kNoneForbidden;
constexpr std::string_view kModelForbidden = ":@";   ///< Separators in `name:adapter@version`.
constexpr std::string_view kPathForbidden = "/?# %"; ///< The name is used in a URL path.

bool
IsControl(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < 0x20 || byte == 0x7f;
}

/// Describes the fault of a name; empty if the name is valid.
std::string
CheckName(std::string_view aName, std::string_view aForbidden)
{
  if (aName.empty()) {
    return "empty";
  }
  if (aName.size() > kMaxNameBytes) {
    return "longer than 128 bytes";
  }
  if (std::any_of(aName.begin(), aName.end(), IsControl)) {
    return "contains a control character";
  }
  if (aName.find_first_of(aForbidden) != std::string_view::npos) {
    return "contains one of the characters " + std::string(aForbidden);
  }
  return {};
}

std::string
ReadName(JsonReader& aReader, std::string_view aField, std::string_view aForbidden = kNoneForbidden)
{
  const nlohmann::json* value = aReader.Find(aField);
  std::string name = aReader.ReadString(aField);
  const bool isString = value != nullptr && value->is_string();
  if (std::string fault = isString ? CheckName(name, aForbidden) : ""; !fault.empty()) {
    aReader.Fault(aField, fault);
  }
  return name;
}

/// The pointer to one entry of an array member, or to a member of that entry.
std::string
EntryPointer(const JsonReader& aReader, std::string_view aField, std::size_t aIndex,
             std::string_view aMember = {})
{
  const auto entry = JoinJsonPointer(aReader.PointerOf(aField), std::to_string(aIndex));
  return aMember.empty() ? entry : JoinJsonPointer(entry, aMember);
}

/// Reports each entry of an array whose key equals an earlier one. Empty keys are skipped; they have been reported.
template<typename Item, typename KeyOf>
void
RejectRepeated(JsonReader& aReader, std::string_view aField, const std::vector<Item>& aItems,
               std::string_view aMember, KeyOf aKeyOf)
{
  std::set<std::string> seen;
  for (std::size_t index = 0; index < aItems.size(); ++index) {
    const std::string key = aKeyOf(aItems[index]);
    if (!key.empty() && !seen.insert(key).second) {
      aReader.FaultAt(EntryPointer(aReader, aField, index, aMember),
                      "duplicate of an earlier entry");
    }
  }
}

template<typename Item>
void
RejectRepeatedNames(JsonReader& aReader, std::string_view aField, const std::vector<Item>& aItems)
{
  RejectRepeated(aReader, aField, aItems, "name", [](const Item& aItem) { return aItem.name; });
}

/// Reads an array of distinct names.
std::vector<std::string>
ReadNames(JsonReader& aReader, std::string_view aField)
{
  auto names = aReader.ReadStrings(aField);
  for (std::size_t index = 0; index < names.size(); ++index) {
    // A fault has already been reported for an item of another type
    const bool isString = (*aReader.Find(aField))[index].is_string();
    std::string fault = isString ? CheckName(names[index], kNoneForbidden) : "";
    if (!fault.empty()) {
      aReader.FaultAt(EntryPointer(aReader, aField, index), fault);
    }
  }
  RejectRepeated(aReader, aField, names, "", [](const std::string& aName) { return aName; });
  return names;
}

ManifestAdapter
ReadAdapter(JsonReader& aReader)
{
  ManifestAdapter adapter;
  adapter.name = ReadName(aReader, "name", kModelForbidden);
  adapter.versions = ReadNames(aReader, "versions");
  const json* versions = aReader.Find("versions");
  if (versions != nullptr && versions->is_array() && versions->empty()) {
    aReader.Fault("versions", "expected at least one version");
  }
  aReader.RejectUnknown();
  return adapter;
}

ManifestModel
ReadModel(JsonReader& aReader)
{
  ManifestModel model;
  model.name = ReadName(aReader, "name", kModelForbidden);
  model.version = ReadName(aReader, "version", kModelForbidden);
  if (aReader.Find("adapters") != nullptr) {
    model.adapters = aReader.ReadObjects("adapters", ReadAdapter);
    RejectRepeatedNames(aReader, "adapters", model.adapters);
  }
  model.minEndpoints = static_cast<int>(aReader.ReadInteger("min_endpoints", kEndpointsRange, 1));
  aReader.RejectUnknown();
  return model;
}

ManifestService
ReadService(JsonReader& aReader)
{
  ManifestService service;
  service.name = ReadName(aReader, "name", kPathForbidden);
  service.repeatable = aReader.ReadBoolean("repeatable");
  aReader.RejectUnknown();
  return service;
}

ManifestClass
ReadClass(JsonReader& aReader)
{
  ManifestClass result;
  result.name = ReadName(aReader, "name");
  result.firstToken = Milliseconds(aReader.ReadInteger("first_token_ms", kDurationRange));
  result.betweenTokens = Milliseconds(aReader.ReadInteger("between_tokens_ms", kDurationRange));
  result.deadline = Milliseconds(aReader.ReadInteger("deadline_ms", kDurationRange));
  result.priority = static_cast<int>(aReader.ReadInteger("priority", kPriorityRange));
  if (result.deadline.count() > 0 && result.deadline < result.firstToken) {
    aReader.Fault("deadline_ms", "earlier than first_token_ms");
  }
  aReader.RejectUnknown();
  return result;
}

ManifestClient
ReadClient(JsonReader& aReader)
{
  ManifestClient client;
  client.name = ReadName(aReader, "name");
  client.keySha256 = aReader.ReadString("key_sha256");
  const bool isHex = client.keySha256.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!client.keySha256.empty() && (!isHex || client.keySha256.size() != kSha256Digits)) {
    aReader.Fault("key_sha256", "expected 64 lower-case hexadecimal digits");
  }
  client.weight = aReader.ReadNumber("weight", kWeightRange, 1);
  client.tokensPerSecond = aReader.ReadNumber("tokens_per_second", kRateRange, 0);
  client.concurrent = static_cast<int>(aReader.ReadInteger("concurrent", kConcurrentRange, 0));
  aReader.RejectUnknown();
  return client;
}

/// Reads the weights and scales them to a sum of one.
ManifestObjective
ReadObjective(JsonReader& aReader)
{
  ManifestObjective objective;
  objective.cost = aReader.ReadNumber("cost", kObjectiveRange);
  objective.recomputedTokens = aReader.ReadNumber("recomputed_tokens", kObjectiveRange);
  aReader.RejectUnknown();
  const double sum = objective.cost + objective.recomputedTokens;
  if (!(sum > 0)) {
    const bool complete = aReader.Has("cost") && aReader.Has("recomputed_tokens");
    if (complete) {
      aReader.Fault("", "expected at least one weight above zero");
    }
    return {};
  }
  objective.cost /= sum;
  objective.recomputedTokens /= sum;
  return objective;
}

/// Reports an array that is empty but needs at least one entry.
void
RequireEntries(JsonReader& aReader, std::string_view aField, std::string_view aEntryName)
{
  const json* array = aReader.Find(aField);
  if (array != nullptr && array->is_array() && array->empty()) {
    aReader.Fault(aField, "expected at least one " + std::string(aEntryName));
  }
}

/// Reports contradictions between parts of the manifest.
void
CheckReferences(JsonReader& aReader, const Manifest& aManifest)
{
  RejectRepeated(aReader, "models", aManifest.models, "version", [](const ManifestModel& aModel) {
    const bool complete = !aModel.name.empty() && !aModel.version.empty();
    return complete ? aModel.name + "@" + aModel.version : std::string();
  });
  RejectRepeatedNames(aReader, "services", aManifest.services);
  RejectRepeatedNames(aReader, "classes", aManifest.classes);
  RejectRepeatedNames(aReader, "clients", aManifest.clients);

  // A key must identify one client account, otherwise responses could reach the wrong client
  RejectRepeated(aReader, "clients", aManifest.clients, "key_sha256",
                 [](const ManifestClient& aClient) { return aClient.keySha256; });
  const bool servesNothing = aManifest.models.empty() && aManifest.services.empty();
  const json* models = aReader.Find("models");
  if (servesNothing && models != nullptr && models->is_array()) {
    aReader.Fault("models", "expected at least one model or service");
  }
}

} // namespace

ManifestReadResult
ReadManifest(std::string_view aText)
{
  ManifestReadResult reading;
  if (aText.size() > kMaxManifestBytes) {
    reading.faults.Add("", "larger than 1 MiB");
    return reading;
  }
  const auto value = ParseStrictJson(aText, reading.faults);
  return value ? ReadManifest(*value, "") : reading;
}

ManifestReadResult
ReadManifest(const json& aValue, std::string_view aPointer)
{
  ManifestReadResult reading;
  JsonReader reader(aValue, std::string(aPointer), reading.faults);
  Manifest manifest;
  manifest.market = ReadName(reader, "market", kPathForbidden);
  manifest.region = ReadName(reader, "region", kPathForbidden);
  manifest.failureDomains = ReadNames(reader, "failure_domains");
  RequireEntries(reader, "failure_domains", "failure domain");
  manifest.models = reader.ReadObjects("models", ReadModel);
  if (reader.Find("services") != nullptr) {
    manifest.services = reader.ReadObjects("services", ReadService);
  }
  manifest.classes = reader.ReadObjects("classes", ReadClass);
  RequireEntries(reader, "classes", "class");
  manifest.clients = reader.ReadObjects("clients", ReadClient);
  if (reader.Find("machine_classes") != nullptr) {
    manifest.machineClasses = ReadNames(reader, "machine_classes");
  }
  manifest.priceCeiling = reader.ReadNumber("price_ceiling", kPriceRange, 0);
  manifest.ordersFenced = reader.ReadBoolean("orders_fenced");
  manifest.objective = reader.ReadObject("objective", ReadObjective);
  CheckReferences(reader, manifest);
  reader.RejectUnknown();
  if (reading.faults.IsEmpty()) {
    reading.manifest = std::move(manifest);
  }
  return reading;
}

} // namespace lagoonward
