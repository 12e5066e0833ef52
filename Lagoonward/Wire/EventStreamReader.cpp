#include "Lagoonward/Wire/EventStreamReader.h"

namespace lagoonward {

EventStreamReader::EventStreamReader(std::size_t aMaximumEventBytes)
  : maximumEventBytes(aMaximumEventBytes)
{
}

void
EventStreamReader::AppendPartialLine(std::string_view aBytes)
{
  if (this->partialLine.size() + aBytes.size() > this->maximumEventBytes) {
    this->failed = true;
    return;
  }
  this->partialLine.append(aBytes);
}

std::string_view
EventStreamReader::CompleteLine(std::string_view aRest)
{
  std::string_view line = aRest;
  if (!this->partialLine.empty()) {
    this->partialLine.append(aRest);
    line = this->partialLine;
  }
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

bool
EventStreamReader::HandleLine(std::string_view aLine)
{
  // An empty line ends the event
  if (aLine.empty()) {
    if (this->hasData) {
      return true;
    }
    this->ResetEvent();
    return false;
  }
  // A line that starts with a colon is a comment
  const std::size_t colon = aLine.find(':');
  if (colon == 0) {
    return false;
  }
  if (colon == std::string_view::npos) {
    this->HandleField(aLine, {});
    return false;
  }
  std::string_view value = aLine.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  this->HandleField(aLine.substr(0, colon), value);
  return false;
}

void
EventStreamReader::HandleField(std::string_view aName, std::string_view aValue)
{
  if (aName == "event") {
    this->type = aValue;
    return;
  }
  if (aName == "id") {
    this->lastId = aValue;
    return;
  }
  if (aName != "data") {
    return;
  }
  if (this->data.size() + aValue.size() + 1 > this->maximumEventBytes) {
    this->failed = true;
    return;
  }
  if (this->hasData) {
    this->data.push_back('\n');
  }
  this->data.append(aValue);
  this->hasData = true;
}

void
EventStreamReader::ResetEvent()
{
  this->type.clear();
  this->data.clear();
  this->hasData = false;
}

} // namespace lagoonward
