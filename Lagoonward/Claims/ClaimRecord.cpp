#include "Lagoonward/Claims/ClaimRecord.h"

#include <limits>

namespace lagoonward {

namespace {

using nlohmann::json;

constexpr std::size_t kKeyDigits = 32;
constexpr std::size_t kHalfDigits = kKeyDigits / 2;
constexpr IntegerRange kTimeRange{ 0, 9'007'199'254'740'991 };
constexpr IntegerRange kSequenceRange{ 0, std::numeric_limits<std::int64_t>::max() };

std::string
WriteKey(const ClaimKey& aKey)
{
  return ToHex(aKey.high) + ToHex(aKey.low);
}

ClaimKey
ReadKey(JsonReader& aReader)
{
  const std::string digits = aReader.ReadString("key");
  const auto high = FromHex(std::string_view(digits).substr(0, kHalfDigits));
  const auto low =
    digits.size() == kKeyDigits ? FromHex(std::string_view(digits).substr(kHalfDigits)) : high;
  if (digits.size() != kKeyDigits || !high || !low) {
    aReader.Fault("key", "must be 32 hexadecimal digits");
    return {};
  }
  return { *high, *low };
}

RecordId
ReadClaimId(JsonReader& aReader)
{
  RecordId id;
  id.incarnation = aReader.ReadString("by");
  id.sequence = static_cast<std::uint64_t>(aReader.ReadInteger("seq", kSequenceRange));
  if (id.incarnation.empty()) {
    aReader.Fault("by", "empty");
  }
  return id;
}

Claim
ReadClaim(JsonReader& aReader)
{
  Claim claim;
  claim.key = ReadKey(aReader);
  claim.id = ReadClaimId(aReader);
  const auto body = FromHex(aReader.ReadString("body"));
  if (!body) {
    aReader.Fault("body", "must be 16 hexadecimal digits");
  }
  claim.bodyHash = body.value_or(0);
  aReader.RejectUnknown();
  return claim;
}

ClaimOutcome
ReadOutcome(JsonReader& aReader)
{
  ClaimOutcome outcome;
  outcome.key = ReadKey(aReader);
  outcome.id = ReadClaimId(aReader);
  const std::string ran = aReader.ReadString("ran");
  if (ran != "yes" && ran != "no") {
    aReader.Fault("ran", "must be yes or no");
  }
  outcome.ran = ran == "yes" ? Ran::Yes : Ran::No;
  aReader.RejectUnknown();
  return outcome;
}

} // namespace

std::optional<ClaimRecord>
ReadClaimRecord(std::string_view aText, JsonFaults& aFaults)
{
  const auto faultsBefore = aFaults.Count();
  const auto value = ParseStrictJson(aText, aFaults);
  if (!value) {
    return std::nullopt;
  }
  JsonReader reader(*value, "", aFaults);
  ClaimRecord record;
  record.author = ReadRecordId(reader, "author");
  record.at = FromUnixMilliseconds(reader.ReadInteger("at_ms", kTimeRange));
  record.claims = reader.ReadObjects("claims", ReadClaim);
  record.outcomes = reader.ReadObjects("outcomes", ReadOutcome);
  reader.RejectUnknown();
  if (aFaults.Count() != faultsBefore) {
    return std::nullopt;
  }
  return record;
}

std::string
WriteClaimRecord(const ClaimRecord& aRecord)
{
  json claims = json::array();
  for (const Claim& claim : aRecord.claims) {
    claims.push_back({ { "key", WriteKey(claim.key) },
                       { "body", ToHex(claim.bodyHash) },
                       { "by", claim.id.incarnation },
                       { "seq", claim.id.sequence } });
  }
  json outcomes = json::array();
  for (const ClaimOutcome& outcome : aRecord.outcomes) {
    outcomes.push_back({ { "key", WriteKey(outcome.key) },
                         { "by", outcome.id.incarnation },
                         { "seq", outcome.id.sequence },
                         { "ran", ToString(outcome.ran) } });
  }
  const json record{ { "author", WriteRecordId(aRecord.author) },
                     { "at_ms", ToUnixMilliseconds(aRecord.at) },
                     { "claims", std::move(claims) },
                     { "outcomes", std::move(outcomes) } };
  return record.dump();
}

} // namespace lagoonward
