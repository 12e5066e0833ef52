#include "Lagoonward/Wire/CurlTransfer.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string_view>
#include <utility>

namespace lagoonward {

namespace {

/// Idle time before the first TCP keep-alive probe, and interval between probes. Two probes fit into the default 2 s of
/// HttpClientSettings::unacknowledgedTimeout.
constexpr long kKeepAliveSeconds = 1;

constexpr int kFirstFinalStatus = 200;

} // namespace

CurlTransfer::CurlTransfer()
  : easy(curl_easy_init())
{
}

void
CurlTransfer::Prepare(const HttpTransferRequest& aRequest, const HttpClientSettings& aSettings,
                      IdleSockets& aIdleSockets)
{
  this->idleSockets = &aIdleSockets;
  aIdleSockets.Watch(this->easy.get());
  this->body = aRequest.body;
  this->singleSend = aRequest.singleSend;
  this->mayBeSent = aRequest.mayBeSent;
  this->unacknowledgedTimeout = aSettings.unacknowledgedTimeout;
  this->maximumHeadBytes = aSettings.maximumHeadBytes;
  this->SetRequest(aRequest);
  this->SetConnection(aRequest, aSettings);
  this->SetCallbacks();
}

void
CurlTransfer::SetRequest(const HttpTransferRequest& aRequest)
{
  CURL* const handle = this->easy.get();
  curl_easy_setopt(handle, CURLOPT_URL, aRequest.url.c_str());
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_slist* lines = curl_slist_append(nullptr, "Expect:");
  for (const std::string& line : aRequest.headers) {
    lines = curl_slist_append(lines, line.c_str());
  }
  this->headers.reset(lines);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, lines);
  if (aRequest.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(this->body.Size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, this->body.Text().c_str());
  } else if (aRequest.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  } else {
    if (!this->body.IsEmpty()) {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(this->body.Size()));
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, this->body.Text().c_str());
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, aRequest.method.c_str());
  }
}

void
CurlTransfer::SetConnection(const HttpTransferRequest& aRequest,
                            const HttpClientSettings& aSettings)
{
  CURL* const handle = this->easy.get();
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, aSettings.receiveBufferBytes);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(aSettings.connectTimeout.count()));
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, aRequest.freshConnection ? 1L : 0L);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, aRequest.closesConnection ? 1L : 0L);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &CurlTransfer::OnBeforeSend);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &CurlTransfer::OnNewSocket);
  curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
  curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(aSettings.maximumIdleAge.count()));
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
}

void
CurlTransfer::SetCallbacks()
{
  CURL* const handle = this->easy.get();
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &CurlTransfer::OnBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &CurlTransfer::OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
}

int
CurlTransfer::OnBeforeSend(void* aTransfer, char* /*aRemote*/, char* /*aLocal*/, int aRemotePort,
                           int aLocalPort)
{
  auto& transfer = *static_cast<CurlTransfer*>(aTransfer);
  if (transfer.idleSockets->ExtractHasUnreadBytes(aLocalPort, aRemotePort)) {
    transfer.hasUnreadBytes = true;
    return CURL_PREREQFUNC_ABORT;
  }
  if (transfer.mayBeSent && !transfer.mayBeSent()) {
    transfer.isCancelled = true;
    return CURL_PREREQFUNC_ABORT;
  }
  const bool isRepeat = std::exchange(transfer.wasSent, true);
  return transfer.singleSend && isRepeat ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

bool
CurlTransfer::ExtractNeedsNewConnection()
{
  if (!std::exchange(this->hasUnreadBytes, false)) {
    return false;
  }
  curl_easy_setopt(this->easy.get(), CURLOPT_FRESH_CONNECT, 1L);
  return true;
}

int
CurlTransfer::OnNewSocket(void* aTransfer, curl_socket_t aSocket, curlsocktype /*aPurpose*/)
{
  const auto& transfer = *static_cast<CurlTransfer*>(aTransfer);
  const auto timeout = static_cast<unsigned>(transfer.unacknowledgedTimeout.count());
  setsockopt(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  return CURL_SOCKOPT_OK;
}

int
CurlTransfer::Status() const
{
  long status = 0;
  curl_easy_getinfo(this->easy.get(), CURLINFO_RESPONSE_CODE, &status);
  return static_cast<int>(status);
}

std::size_t
CurlTransfer::OnBytes(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<CurlTransfer*>(aTransfer);
  if (transfer.observer != nullptr) {
    transfer.observer->OnBytes(transfer.Status(), { aData, aSize * aCount });
  }
  return transfer.isStopped ? CURL_WRITEFUNC_ERROR : aSize * aCount;
}

void
CurlTransfer::OnHeaderLine(std::string_view aLine)
{
  if (this->observer == nullptr) {
    return;
  }
  this->observer->OnHeaderLine(aLine);
  // An empty line ends a head; those of interim responses precede the final one
  if (!aLine.empty() || this->headComplete || this->Status() < kFirstFinalStatus) {
    return;
  }
  this->headComplete = true;
  if (this->observer != nullptr) {
    this->observer->OnHeadComplete({ this->Status(), this->IsFirstOnConnection() });
  }
}

bool
CurlTransfer::IsFirstOnConnection() const
{
  long newConnections = 0;
  curl_easy_getinfo(this->easy.get(), CURLINFO_NUM_CONNECTS, &newConnections);
  return newConnections > 0;
}

bool
CurlTransfer::IsRequestSent() const
{
  curl_off_t sentBytes = 0;
  curl_easy_getinfo(this->easy.get(), CURLINFO_SIZE_UPLOAD_T, &sentBytes);
  return static_cast<std::size_t>(sentBytes) >= this->body.Size();
}

std::size_t
CurlTransfer::OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<CurlTransfer*>(aTransfer);
  std::string_view line(aData, aSize * aCount);
  transfer.headBytes += line.size();
  if (transfer.headBytes > transfer.maximumHeadBytes) {
    transfer.isStopped = true;
    return CURL_WRITEFUNC_ERROR;
  }
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
    line.remove_suffix(1);
  }
  if (!transfer.headCheck.Accept(line)) {
    transfer.isStopped = true;
    return CURL_WRITEFUNC_ERROR;
  }
  transfer.OnHeaderLine(line);
  return transfer.isStopped ? CURL_WRITEFUNC_ERROR : aSize * aCount;
}

std::string
CurlTransfer::StopReason() const
{
  if (this->headBytes > this->maximumHeadBytes) {
    return fmt::format("header lines exceed {} bytes", this->maximumHeadBytes);
  }
  if (!this->headCheck.Fault().empty()) {
    return this->headCheck.Fault();
  }
  return "stopped, as the response is of no use";
}

TransferEnd
CurlTransfer::DescribeEnd(CURLcode aResult) const
{
  TransferEnd end;
  end.status = this->Status();
  end.message = curl_easy_strerror(aResult);
  if (aResult == CURLE_ABORTED_BY_CALLBACK) {
    end.message = this->isCancelled ? "cancelled before the request was sent"
                                    : "the reused connection was already closed";
  }
  long requestBytes = 0;
  curl_easy_getinfo(this->easy.get(), CURLINFO_REQUEST_SIZE, &requestBytes);
  end.isWithheld = this->isCancelled;
  end.hasMalformedHead = !this->headCheck.Fault().empty() || aResult == CURLE_WEIRD_SERVER_REPLY ||
                         aResult == CURLE_UNSUPPORTED_PROTOCOL;
  end.isFirstOnConnection = this->IsFirstOnConnection();
  end.isConnectionRefused = aResult == CURLE_COULDNT_CONNECT;
  if (this->headComplete) {
    end.bodyEnd = this->headCheck.IsDelimited() ? BodyEnd::Stated : BodyEnd::Connection;
  }
  if (this->isStopped) {
    end.outcome = TransferOutcome::Stopped;
    end.message = this->StopReason();
  } else if (aResult == CURLE_OK && !this->headComplete) {
    // libcurl accepts a connection that is closed within the head as the end of a response without a body
    end.outcome = TransferOutcome::Broken;
    end.message = "the connection was closed within the head of the response";
  } else if (aResult == CURLE_OK && !this->headCheck.IsDelimited() && !this->IsRequestSent()) {
    end.outcome = TransferOutcome::Broken;
    end.message = "the connection was closed within the request, and the response states no length";
    end.isLengthUnknown = true;
  } else if (aResult == CURLE_OK) {
    end.outcome = TransferOutcome::Complete;
  } else if (requestBytes == 0 || (this->isCancelled && !this->wasSent)) {
    end.outcome = TransferOutcome::NotSent;
  } else if (aResult == CURLE_OPERATION_TIMEDOUT) {
    end.outcome = TransferOutcome::TimedOut;
  } else {
    end.outcome = TransferOutcome::Broken;
  }
  return end;
}

} // namespace lagoonward
