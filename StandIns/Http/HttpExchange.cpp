#include "StandIns/Http/HttpExchange.h"

#include <algorithm>
#include <cstring>

namespace lagoonward::standins {

namespace {

/// Block size that is passed to the library for reads of a streamed response.
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
  this->phase = this->answerDropped ? Phase::Aborted : Phase::Answered;
  this->Resume();
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
  this->phase = this->answerDropped ? Phase::Aborted : Phase::Streaming;
  this->streamBegun = !this->answerDropped;
  this->Resume();
}

void
HttpExchange::Write(std::string_view aPiece)
{
  const std::lock_guard lock(this->mutex);
  if (this->phase != Phase::Streaming || this->disconnected) {
    return;
  }
  this->buffer.append(aPiece);
  this->Resume();
}

void
HttpExchange::End()
{
  const std::lock_guard lock(this->mutex);
  if (this->phase != Phase::Streaming) {
    return;
  }
  this->phase = Phase::Ended;
  this->Resume();
}

void
HttpExchange::Abort()
{
  const std::lock_guard lock(this->mutex);
  this->phase = Phase::Aborted;
  this->Resume();
}

void
HttpExchange::DropAnswer()
{
  const std::lock_guard lock(this->mutex);
  this->answerDropped = true;
}

void
HttpExchange::OnDisconnected(std::function<void()> aCallback)
{
  {
    const std::lock_guard lock(this->mutex);
    if (!this->disconnected) {
      this->onDisconnected = std::move(aCallback);
      return;
    }
  }
  aCallback();
}

bool
HttpExchange::IsDisconnected() const
{
  const std::lock_guard lock(this->mutex);
  return this->disconnected;
}

MHD_Result
HttpExchange::SendOrSuspend()
{
  ResponsePointer response;
  {
    const std::lock_guard lock(this->mutex);
    // An aborted stream still sends the data already written
    if (this->stopping || (this->phase == Phase::Aborted && !this->streamBegun)) {
      return MHD_NO;
    }
    if (this->state->silent || this->phase == Phase::Waiting) {
      this->Suspend();
      return MHD_YES;
    }
    response = this->BuildResponse();
  }
  // The library locks the response and calls ReadCallback under that lock, so this->mutex must not be locked here
  return MHD_queue_response(this->connection, static_cast<unsigned>(this->status), response.get());
}

HttpExchange::ResponsePointer
HttpExchange::BuildResponse()
{
  const bool complete = this->phase == Phase::Answered;
  ResponsePointer response(
    complete ? MHD_create_response_from_buffer(this->buffer.size(), this->buffer.data(),
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
    this->Suspend();
    return 0;
  }
  const auto left = this->buffer.size() - this->sentBytes;
  if (left > 0) {
    const auto size = std::min(left, aRoom);
    std::memcpy(aBuffer, this->buffer.data() + this->sentBytes, size);
    this->sentBytes += size;
    if (this->sentBytes == this->buffer.size()) {
      this->buffer.clear();
      this->sentBytes = 0;
    }
    return static_cast<ssize_t>(size);
  }
  switch (this->phase) {
    case Phase::Ended:
      return MHD_CONTENT_READER_END_OF_STREAM;
    case Phase::Aborted:
      return MHD_CONTENT_READER_END_WITH_ERROR;
    default:
      this->Suspend();
      return 0;
  }
}

void
HttpExchange::Suspend()
{
  this->suspended = true;
  MHD_suspend_connection(this->connection);
}

void
HttpExchange::Resume()
{
  if (this->suspended && !this->disconnected && (!this->state->silent || this->stopping)) {
    this->suspended = false;
    MHD_resume_connection(this->connection);
  }
}

void
HttpExchange::MarkDisconnected()
{
  std::function<void()> callback;
  {
    const std::lock_guard lock(this->mutex);
    this->disconnected = true;
    callback = std::move(this->onDisconnected);
    this->onDisconnected = nullptr;
  }
  if (callback) {
    callback();
  }
}

} // namespace lagoonward::standins
