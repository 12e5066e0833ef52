#include "Bench/VirtualLog.h"

#include <algorithm>

namespace lagoonward::bench {

VirtualLog::VirtualLog(VirtualClock& aClock, Milliseconds aLatency)
  : clock(aClock)
  , latency(aLatency)
{
}

Result<LogPosition>
VirtualLog::Append(std::string_view /*aStream*/, std::string_view aRecord)
{
  this->clock.Advance(this->latency);
  this->records.emplace_back(aRecord);
  return static_cast<Offset>(this->records.size()) - 1;
}

Result<LogPage>
VirtualLog::Read(std::string_view /*aStream*/, Offset aFrom, int aLimit, Milliseconds /*aWait*/)
{
  this->clock.Advance(this->latency);
  LogPage page;
  page.end = static_cast<Offset>(this->records.size());
  const Offset last = std::min(page.end, aFrom + aLimit);
  for (Offset offset = aFrom; offset < last; ++offset) {
    page.records.push_back({ offset, this->records[static_cast<std::size_t>(offset)] });
  }
  return page;
}

} // namespace lagoonward::bench
