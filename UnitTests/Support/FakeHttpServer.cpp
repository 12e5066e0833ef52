#include "UnitTests/Support/FakeHttpServer.h"

#include <arpa/inet.h>
#include <microhttpd.h>

#include <stdexcept>

namespace lagoonward::testing {

namespace {

MHD_Result
CollectQuery(void* aRequest, MHD_ValueKind /*aKind*/, const char* aKey, const char* aValue)
{
  static_cast<FakeRequest*>(aRequest)->query[aKey] = aValue == nullptr ? "" : aValue;
  return MHD_YES;
}

/// libmicrohttpd calls this once with the headers, then with chunks of the body, then once without data.
MHD_Result
OnRequest(void* aServer, MHD_Connection* aConnection, const char* aUrl, const char* aMethod,
          const char* /*aVersion*/, const char* aData, std::size_t* aSize, void** aState)
{
  auto* request = static_cast<FakeRequest*>(*aState);
  if (request == nullptr) {
    *aState = new FakeRequest{ aMethod, aUrl, {}, {} };
    MHD_get_connection_values(aConnection, MHD_GET_ARGUMENT_KIND, &CollectQuery, *aState);
    return MHD_YES;
  }
  if (*aSize > 0) {
    request->body.append(aData, *aSize);
    *aSize = 0;
    return MHD_YES;
  }
  return static_cast<FakeHttpServer*>(aServer)->Answer(aConnection, *request) ? MHD_YES : MHD_NO;
}

void
OnFinished(void* /*aServer*/, MHD_Connection* /*aConnection*/, void** aState,
           MHD_RequestTerminationCode /*aCode*/)
{
  delete static_cast<FakeRequest*>(*aState);
  *aState = nullptr;
}

} // namespace

FakeHttpServer::FakeHttpServer(Handler aHandler)
  : handler(std::move(aHandler))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  this->daemon =
    MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr,
                     nullptr, &OnRequest, this, MHD_OPTION_SOCK_ADDR, &address,
                     MHD_OPTION_NOTIFY_COMPLETED, &OnFinished, nullptr, MHD_OPTION_END);
  if (this->daemon == nullptr) {
    throw std::runtime_error("cannot start the fake HTTP server on a loopback port");
  }
}

FakeHttpServer::~FakeHttpServer()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  MHD_stop_daemon(this->daemon);
}

std::string
FakeHttpServer::Url() const
{
  const auto* info = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return "http://127.0.0.1:" + std::to_string(info->port);
}

bool
FakeHttpServer::Answer(MHD_Connection* aConnection, const FakeRequest& aRequest)
{
  FakeAnswer answer = this->handler(aRequest);
  if (answer.silent) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->stopping; });
    return false;
  }
  auto* response =
    MHD_create_response_from_buffer(answer.body.size(), answer.body.data(), MHD_RESPMEM_MUST_COPY);
  for (const auto& [name, value] : answer.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const auto queued =
    MHD_queue_response(aConnection, static_cast<unsigned int>(answer.status), response);
  MHD_destroy_response(response);
  return queued == MHD_YES;
}

} // namespace lagoonward::testing
