#include "Lagoonward/Frontend/CallReader.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Frontend/ClientAuthenticator.h"
#include "Lagoonward/Routing/PromptBlocks.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace lagoonward {

namespace {

using Json = nlohmann::json;

/// Seeds are limited to 53 bits, the integers that every JSON parser represents exactly.
constexpr std::uint64_t kSeedMask = (std::uint64_t{ 1 } << 53U) - 1;
constexpr std::size_t kRequestIdBytes = 12;

Error
Invalid(std::string aMessage)
{
  return { ErrorKind::InvalidRequest, std::move(aMessage) };
}

/// Makes a random request id: "r-" and 24 hexadecimal digits.
std::string
MakeRequestId()
{
  std::array<unsigned char, kRequestIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, kRequestIdBytes * 2 + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  return std::string("r-") + hex.data();
}

/// Whether a header's value can be used in a log line, a URL or a record without escaping.
bool
IsPrintable(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(),
                     [](char aByte) { return aByte > ' ' && aByte <= '~'; });
}

/// Components of `name`, `name:adapter` or `name:adapter@version`.
struct ModelName
{
  std::string model;
  std::string adapter;
  std::string adapterVersion;

  static ModelName Parse(std::string_view aText)
  {
    ModelName name;
    const std::size_t colon = aText.find(':');
    name.model = aText.substr(0, colon);
    if (colon == std::string_view::npos) {
      return name;
    }
    const std::string_view rest = aText.substr(colon + 1);
    const std::size_t at = rest.find('@');
    name.adapter = rest.substr(0, at);
    if (at != std::string_view::npos) {
      name.adapterVersion = rest.substr(at + 1);
    }
    return name;
  }
};

/// Finds the requested model and adapter in the manifest and fills in the versions that the request omits.
Result<void>
ResolveModel(const Manifest& aManifest, std::string_view aRequested, EngineCall& aCall)
{
  const ModelName name = ModelName::Parse(aRequested);
  const Error unknown(ErrorKind::UnknownModel,
                      fmt::format("The market has no model \"{}\".", aRequested));
  for (const ManifestModel& model : aManifest.models) {
    if (model.name != name.model) {
      continue;
    }
    if (name.adapter.empty()) {
      aCall.model = model.name;
      aCall.version = model.version;
      return boost::outcome_v2::success();
    }
    for (const ManifestAdapter& adapter : model.adapters) {
      if (adapter.name != name.adapter || adapter.versions.empty()) {
        continue;
      }
      const std::string& version =
        name.adapterVersion.empty() ? adapter.versions.front() : name.adapterVersion;
      if (std::find(adapter.versions.begin(), adapter.versions.end(), version) ==
          adapter.versions.end()) {
        continue;
      }
      aCall.model = model.name;
      aCall.version = model.version;
      aCall.adapter = adapter.name;
      aCall.adapterVersion = version;
      return boost::outcome_v2::success();
    }
  }
  return unknown;
}

/// Makes the prompt of a chat: for each message its role, a line feed, its content, a line feed.
Result<std::string>
BuildChatPrompt(const Json& aBody)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return Invalid("\"messages\" must be an array with at least one message.");
  }
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
        !message.contains("content") || !message["content"].is_string()) {
      return Invalid("Each of \"messages\" needs \"role\" and \"content\" as strings.");
    }
    prompt += message["role"].get_ref<const std::string&>() + "\n";
    prompt += message["content"].get_ref<const std::string&>() + "\n";
  }
  return prompt;
}

Result<std::string>
ReadPrompt(const Json& aBody)
{
  const auto prompt = aBody.find("prompt");
  if (prompt != aBody.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  return Invalid("\"prompt\" must be a string.");
}

/// Reads an integer field; returns nothing if it is absent or null.
Result<std::optional<std::int64_t>>
ReadInteger(const Json& aBody, const char* aName)
{
  const auto field = aBody.find(aName);
  if (field == aBody.end() || field->is_null()) {
    return std::optional<std::int64_t>();
  }
  if (!field->is_number_integer()) {
    return Invalid(fmt::format("\"{}\" must be an integer.", aName));
  }
  return std::optional<std::int64_t>(field->get<std::int64_t>());
}

Result<bool>
ReadFlag(const Json& aBody, const char* aName)
{
  const auto field = aBody.find(aName);
  if (field == aBody.end() || field->is_null()) {
    return false;
  }
  if (!field->is_boolean()) {
    return Invalid(fmt::format("\"{}\" must be true or false.", aName));
  }
  return field->get<bool>();
}

/// Rank of a priority among the distinct priorities of the manifest's classes; 0 is the lowest.
int
PriorityRank(const Manifest& aManifest, int aPriority)
{
  std::set<int> lowerPriorities;
  for (const ManifestClass& callClass : aManifest.classes) {
    if (callClass.priority < aPriority) {
      lowerPriorities.insert(callClass.priority);
    }
  }
  return static_cast<int>(lowerPriorities.size());
}

} // namespace

CallReader::CallReader(const CallSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

Result<CompletionRequest>
CallReader::ReadCompletion(const HttpRequest& aRequest, const Configuration& aConfiguration) const
{
  auto terms = this->ReadTerms(aRequest, aConfiguration);
  if (!terms) {
    return terms.error();
  }
  const Json body = Json::parse(aRequest.body.Text(), nullptr, false);
  if (!body.is_object()) {
    return Invalid("The body must be a JSON object in UTF-8.");
  }
  CompletionRequest request;
  request.call.terms = std::move(terms.value());
  request.format.chat = aRequest.path == kChatPath;

  // Model, prompt and token limit
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Invalid("\"model\" must be a string.");
  }
  EngineCall& engine = request.call.engine;
  request.call.requestedModel = model->get<std::string>();
  if (const auto resolved =
        ResolveModel(aConfiguration.manifest, request.call.requestedModel, engine);
      !resolved) {
    return resolved.error();
  }
  auto prompt = request.format.chat ? BuildChatPrompt(body) : ReadPrompt(body);
  if (!prompt) {
    return prompt.error();
  }
  engine.prompt = std::move(prompt.value());
  const auto requested = ReadInteger(
    body, body.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens");
  if (!requested) {
    return requested.error();
  }
  const auto maxTokens = this->ReadMaxTokens(requested.value());
  if (!maxTokens) {
    return maxTokens.error();
  }
  engine.maxTokens = maxTokens.value();

  // Format of the answer
  const auto stream = ReadFlag(body, "stream");
  const auto seed = ReadInteger(body, "seed");
  const auto choices = ReadInteger(body, "n");
  if (!stream || !seed || !choices) {
    return !stream ? stream.error() : !seed ? seed.error() : choices.error();
  }
  if (choices.value().value_or(1) != 1) {
    return Invalid("\"n\" must be 1.");
  }
  request.format.stream = stream.value();
  if (const std::string_view last = aRequest.Header("Last-Event-ID"); !last.empty()) {
    std::size_t event = 0;
    const auto [end, failure] = std::from_chars(last.data(), last.data() + last.size(), event);
    if (failure != std::errc() || end != last.data() + last.size() ||
        request.call.terms.idempotencyKey.empty()) {
      return Invalid("Last-Event-ID must be an event's id and needs the Idempotency-Key.");
    }
    request.format.fromToken = event + 1;
  }

  // Derived values. The default seed is a hash of the request's identity, so that a rerun generates the same answer
  engine.requestId = request.call.terms.requestId;
  engine.priority = request.call.terms.callClass.priority;
  const std::string identity =
    request.call.terms.idempotencyKey.empty() ? engine.requestId : request.call.terms.RegistryKey();
  engine.seed = seed.value().has_value() ? static_cast<std::uint64_t>(*seed.value()) & kSeedMask
                                         : HashBytes(identity) & kSeedMask;
  const std::string adapter =
    engine.adapter.empty() ? std::string() : engine.adapter + "@" + engine.adapterVersion;
  PromptBlocks blocks = PromptBlocks::Split(engine.model, engine.version, adapter, engine.prompt);
  request.call.promptTokens = blocks.tokens;
  request.call.prefixBlocks = std::move(blocks.hashes);
  return request;
}

Result<ServiceCall>
CallReader::ReadService(const HttpRequest& aRequest, const Configuration& aConfiguration) const
{
  auto terms = this->ReadTerms(aRequest, aConfiguration);
  if (!terms) {
    return terms.error();
  }
  ServiceCall call;
  call.terms = std::move(terms.value());
  const std::string_view rest = std::string_view(aRequest.path).substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  call.service = rest.substr(0, slash);
  call.path = slash == std::string_view::npos ? std::string("/") : std::string(rest.substr(slash));
  if (!IsPrintable(call.path)) {
    return Invalid("The service's path has characters that are not printable.");
  }
  const ManifestService* service = aConfiguration.manifest.FindService(call.service);
  if (service == nullptr) {
    return Error(ErrorKind::UnknownService,
                 fmt::format("The market has no service \"{}\".", call.service));
  }
  call.terms.idempotent = call.terms.idempotent && service->repeatable;
  const std::string_view contentType = aRequest.Header("Content-Type");
  call.contentType = contentType.empty() ? "application/octet-stream" : contentType;
  call.body = aRequest.body;
  return call;
}

Result<CallTerms>
CallReader::ReadTerms(const HttpRequest& aRequest, const Configuration& aConfiguration) const
{
  const Manifest& manifest = aConfiguration.manifest;
  const auto client = ClientAuthenticator::Find(manifest, aRequest.Header("Authorization"));
  if (!client) {
    return client.error();
  }
  CallTerms terms;
  terms.requestId = MakeRequestId();
  terms.market = manifest.market;
  terms.client = client.value()->name;
  terms.objective = manifest.objective;
  terms.accepted = this->clock.Now();

  // The class; the manifest's first one by default
  const std::string_view className = aRequest.Header("Lagoonward-Class");
  const ManifestClass* callClass = className.empty()
                                     ? (manifest.classes.empty() ? nullptr : &manifest.classes[0])
                                     : manifest.FindClass(className);
  if (callClass == nullptr) {
    return Error(ErrorKind::UnknownClass,
                 fmt::format("The market has no class \"{}\".", className));
  }
  terms.callClass = *callClass;
  terms.rank = PriorityRank(manifest, callClass->priority);
  if (const auto deadline = this->ReadDeadline(aRequest, terms); !deadline) {
    return deadline.error();
  }

  // Idempotency and its key
  const std::string_view key = aRequest.Header("Idempotency-Key");
  if (key.size() > this->settings.maximumKeyBytes || !IsPrintable(key)) {
    return Invalid(fmt::format("Idempotency-Key must have at most {} printable characters.",
                               this->settings.maximumKeyBytes));
  }
  terms.idempotencyKey = key;
  const std::string_view idempotent = aRequest.Header("Lagoonward-Idempotent");
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false") {
    return Invalid("Lagoonward-Idempotent must be true or false.");
  }
  terms.idempotent = idempotent != "false";
  terms.bodyHash = HashBytes(aRequest.body, HashBytes(aRequest.path));
  terms.requestMemory = aRequest.body.Resource();
  return terms;
}

Result<void>
CallReader::ReadDeadline(const HttpRequest& aRequest, CallTerms& aTerms) const
{
  Milliseconds span = aTerms.callClass.deadline;
  if (const std::string_view requested = aRequest.Header("Lagoonward-Deadline-Ms");
      !requested.empty()) {
    std::int64_t milliseconds = 0;
    const auto [end, failure] =
      std::from_chars(requested.data(), requested.data() + requested.size(), milliseconds);
    if (failure != std::errc() || end != requested.data() + requested.size() || milliseconds <= 0 ||
        milliseconds > this->settings.maximumDeadline.count()) {
      return Invalid(fmt::format("Lagoonward-Deadline-Ms must be from 1 to {}.",
                                 this->settings.maximumDeadline.count()));
    }
    span = Milliseconds(milliseconds);
  }
  aTerms.deadline = aTerms.accepted + span;
  return boost::outcome_v2::success();
}

Result<int>
CallReader::ReadMaxTokens(const std::optional<std::int64_t>& aRequested) const
{
  const std::int64_t requested = aRequested.value_or(this->settings.defaultMaxTokens);
  if (requested < 1 || requested > this->settings.maximumMaxTokens) {
    return Invalid(
      fmt::format("\"max_tokens\" must be from 1 to {}.", this->settings.maximumMaxTokens));
  }
  return static_cast<int>(requested);
}

} // namespace lagoonward
