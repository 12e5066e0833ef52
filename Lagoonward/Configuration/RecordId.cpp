#include "Lagoonward/Configuration/RecordId.h"

#include <sodium.h>

#include <array>
#include <limits>

namespace lagoonward {

namespace {

constexpr std::size_t kIncarnationBytes = 16;
constexpr std::size_t kMaxIncarnationSize = 128;

} // namespace

std::string
MakeIncarnation()
{
  std::array<unsigned char, kIncarnationBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, kIncarnationBytes * 2 + 1> digits{};
  sodium_bin2hex(digits.data(), digits.size(), bytes.data(), bytes.size());
  return digits.data();
}

RecordId
ReadRecordId(JsonReader& aReader, std::string_view aField)
{
  return aReader.ReadObject(aField, [](JsonReader& aMember) {
    RecordId id;
    id.incarnation = aMember.ReadString("incarnation");
    if (aMember.Has("incarnation") &&
        (id.incarnation.empty() || id.incarnation.size() > kMaxIncarnationSize)) {
      aMember.Fault("incarnation", "not a string of 1 to 128 bytes");
    }
    const IntegerRange range{ 0, std::numeric_limits<std::int64_t>::max() };
    id.sequence = static_cast<std::uint64_t>(aMember.ReadInteger("sequence", range));
    aMember.RejectUnknown();
    return id;
  });
}

nlohmann::json
WriteRecordId(const RecordId& aId)
{
  return { { "incarnation", aId.incarnation }, { "sequence", aId.sequence } };
}

std::string
ToString(const RecordId& aId)
{
  return aId.incarnation + ":" + std::to_string(aId.sequence);
}

} // namespace lagoonward
