#include "StandIns/Http/HttpExchange.h"

#include <algorithm>
#include <cstring>

namespace lagoonward::standins {

namespace {

/// Room that a response asks of the library for one read of a stream.
constexpr std::size_t kStreamBlock = 4096;

} // namespace

void
HttpExchange::ResponseDeleter::operator()(MHD_Response* aResponse) const
{
  MHD_destroy_response(aResponse);
}

HttpExchange::HttpExchange(MHD_Connection* aConnection, std::shared_ptr<ConnectionState> aState,
                           const std::atomic<bool>& aStopping)
  : connection(aConnection)
  , state(std::move(aState))
  , stopping(aStopping)
{
}

void
HttpExchange::Respond(int aStatus, std::string aBody, std::string_view aContentType,
                      Headers aHeaders)
{
  const std::lock_guard lock(this->mutex);
  if (this->phase != Phase::Waiting) {
    return;
  }
  this->status = aStatus;
  this->buffer = std::move(aBody);
  this->contentType = aContentType;
  this->headers = std::move(aHeaders);
  this->phase = this->dropped ? Phase::Aborted : Phase::Answered;
  this->Wake();
}

void
HttpExchange::BeginStream()
{
  const std::lock_guard lock(this->mutex);
  if (this->phase != Phase::Waiting) {
    return;
  }
  this->status = MHD_HTTP_OK;
  this->contentType = "text/event-stream";
  this->phase = this->dropped ? Phase::Aborted : Phase::Streaming;
  this->begun = !this->dropped;
  this->Wake();
}

void
HttpExchange::Write(std::string_view aPiece)
{
  const std::lock_guard lock(this->mutex);
  if (this->phase != Phase::Streaming || this->gone) {
    return;
  }
  this->buffer.append(aPiece);
  this->Wake();
}

void
HttpExchange::End()
{
  const std::lock_guard lock(this->mutex);
  if (this->phase != Phase::Streaming) {
    return;
  }
  this->phase = Phase::Ended;
  this->Wake();
}

void
HttpExchange::Abort()
{
  const std::lock_guard lock(this->mutex);
  this->phase = Phase::Aborted;
  this->Wake();
}

void
HttpExchange::DropAnswer()
{
  const std::lock_guard lock(this->mutex);
  this->dropped = true;
}

void
HttpExchange::OnGone(std::function<void()> aCallback)
{
  {
    const std::lock_guard lock(this->mutex);
    if (!this->gone) {
      this->onGone = std::move(aCallback);
      return;
    }
  }
  aCallback();
}

bool
HttpExchange::IsGone() const
{
  const std::lock_guard lock(this->mutex);
  return this->gone;
}

MHD_Result
HttpExchange::Advance()
{
  ResponsePointer response;
  {
    const std::lock_guard lock(this->mutex);
    // A stream that was broken off still sends what it has
    if (this->stopping || (this->phase == Phase::Aborted && !this->begun)) {
      return MHD_NO;
    }
    if (this->state->silent || this->phase == Phase::Waiting) {
      this->Park();
      return MHD_YES;
    }
    response = this->BuildResponse();
  }
  // The library locks the response, and reads the stream under that lock
  return MHD_queue_response(this->connection, static_cast<unsigned>(this->status), response.get());
}

HttpExchange::ResponsePointer
HttpExchange::BuildResponse()
{
  const bool whole = this->phase == Phase::Answered;
  ResponsePointer response(
    whole ? MHD_create_response_from_buffer(this->buffer.size(), this->buffer.data(),
                                            MHD_RESPMEM_MUST_COPY)
          : MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlock,
                                              &HttpExchange::ReadCallback, this, nullptr));
  MHD_add_response_header(response.get(), MHD_HTTP_HEADER_CONTENT_TYPE, this->contentType.c_str());
  for (const auto& [name, value] : this->headers) {
    MHD_add_response_header(response.get(), name.c_str(), value.c_str());
  }
  return response;
}

ssize_t
HttpExchange::ReadCallback(void* aSelf, std::uint64_t /*aPosition*/, char* aBuffer,
                           std::size_t aRoom)
{
  return static_cast<HttpExchange*>(aSelf)->Read(aBuffer, aRoom);
}

ssize_t
HttpExchange::Read(char* aBuffer, std::size_t aRoom)
{
  const std::lock_guard lock(this->mutex);
  if (this->stopping) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (this->state->silent) {
    this->Park();
    return 0;
  }
  const auto left = this->buffer.size() - this->taken;
  if (left > 0) {
    const auto size = std::min(left, aRoom);
    std::memcpy(aBuffer, this->buffer.data() + this->taken, size);
    this->taken += size;
    if (this->taken == this->buffer.size()) {
      this->buffer.clear();
      this->taken = 0;
    }
    return static_cast<ssize_t>(size);
  }
  switch (this->phase) {
    case Phase::Ended:
      return MHD_CONTENT_READER_END_OF_STREAM;
    case Phase::Aborted:
      return MHD_CONTENT_READER_END_WITH_ERROR;
    default:
      this->Park();
      return 0;
  }
}

void
HttpExchange::Park()
{
  this->parked = true;
  MHD_suspend_connection(this->connection);
}

void
HttpExchange::Wake()
{
  if (this->parked && !this->gone && (!this->state->silent || this->stopping)) {
    this->parked = false;
    MHD_resume_connection(this->connection);
  }
}

void
HttpExchange::MarkGone()
{
  std::function<void()> callback;
  {
    const std::lock_guard lock(this->mutex);
    this->gone = true;
    callback = std::move(this->onGone);
    this->onGone = nullptr;
  }
  if (callback) {
    callback();
  }
}

} // namespace lagoonward::standins
