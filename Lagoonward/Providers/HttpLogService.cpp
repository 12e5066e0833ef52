#include "Lagoonward/Providers/HttpLogService.h"

#include "Lagoonward/Providers/PlatformDecoder.h"

#include <fmt/format.h>

namespace lagoonward {

namespace {

std::string
StreamPath(std::string_view aStream)
{
  return "/streams/" + EscapePath(aStream, true);
}

/// Decodes a page and checks that its offsets increase and lie within the requested range.
LogPage
ReadPage(JsonReader& aReader, Offset aFrom)
{
  LogPage page;
  page.start = aReader.ReadInteger("start", kPlatformIntegers);
  page.end = aReader.ReadInteger("end", kPlatformIntegers);
  page.records = aReader.ReadObjects("records", [](JsonReader& aItem) {
    LogRecord record;
    record.offset = aItem.ReadInteger("offset", kPlatformIntegers);
    record.data = aItem.ReadString("data");
    return record;
  });
  Offset minimum = std::max(aFrom, page.start);
  for (const LogRecord& record : page.records) {
    if (record.offset < minimum || record.offset >= page.end) {
      aReader.Fault(
        "records",
        fmt::format("offset {} is out of order or outside the requested range", record.offset));
    }
    minimum = record.offset + 1;
  }
  return page;
}

} // namespace

HttpLogService::HttpLogService(std::string aBaseUrl, PlatformSettings aSettings)
  : client(std::move(aBaseUrl), aSettings)
{
}

Result<LogPosition>
HttpLogService::Append(std::string_view aStream, std::string_view aRecord)
{
  PlatformCall call;
  call.method = "POST";
  call.path = StreamPath(aStream);
  call.body = aRecord;
  const auto response = this->client.Call(call);
  if (!response) {
    return response.error();
  }
  return DecodeResponse(response.value(), [](JsonReader& aReader) {
    return LogPosition(aReader.ReadInteger("offset", kPlatformIntegers));
  });
}

Result<LogPage>
HttpLogService::Read(std::string_view aStream, Offset aFrom, int aLimit, Milliseconds aWait)
{
  PlatformCall call;
  call.path = fmt::format("{}?from={}&limit={}&wait_ms={}", StreamPath(aStream), aFrom, aLimit,
                          aWait.count());
  call.wait = aWait;
  const auto response = this->client.Call(call);
  if (!response) {
    return response.error();
  }
  return DecodeResponse(response.value(),
                        [aFrom](JsonReader& aReader) { return ReadPage(aReader, aFrom); });
}

void
HttpLogService::Interrupt()
{
  this->client.Interrupt();
}

} // namespace lagoonward
