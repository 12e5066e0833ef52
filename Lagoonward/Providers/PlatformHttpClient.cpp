#include "Lagoonward/Providers/PlatformHttpClient.h"

#include "Lagoonward/Wire/IdleSockets.h"
#include "Lagoonward/Wire/ResponseHeadCheck.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <chrono>

namespace lagoonward {

namespace {

constexpr long kTooManyRequests = 429;
constexpr long kRequestTimeout = 408;
constexpr long kFirstServerError = 500;
constexpr long kUnavailable = 503;

/// Idle time before the first TCP keep-alive probe, and interval between probes.
constexpr long kKeepAliveSeconds = 1;

/// A connection without acknowledgements for this long is treated as lost. Covers two probes.
constexpr unsigned kUnacknowledgedTimeoutMilliseconds = 2000;

/// A response that arrives part by part must be complete within this many call timeouts.
constexpr int kSlowestResponse = 20;

/// Interval at which a transfer checks whether it was interrupted.
constexpr Milliseconds kInterruptCheckInterval{ 1000 };

/// State of one call that libcurl's callbacks use.
struct Transfer
{
  std::string body;
  std::size_t maxBytes = 0;
  bool discardsBody = false;
  bool tooLong = false;
  ResponseHeadCheck headCheck;
};

std::size_t
ReceiveHeaderLine(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  std::string_view line(aData, aSize * aCount);
  while (line.ends_with('\n') || line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return transfer.headCheck.Accept(line) ? aSize * aCount : CURL_WRITEFUNC_ERROR;
}

std::size_t
ReceiveBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (transfer.discardsBody) {
    return 0;
  }
  if (transfer.body.size() + bytes > transfer.maxBytes) {
    transfer.tooLong = true;
    return 0;
  }
  transfer.body.append(aData, bytes);
  return bytes;
}

/// Why a call has no usable response.
std::string
DescribeFailure(const Transfer& aTransfer, CURLcode aCode)
{
  if (aTransfer.tooLong) {
    return "the response is too long";
  }
  if (!aTransfer.headCheck.Fault().empty()) {
    return aTransfer.headCheck.Fault();
  }
  return aCode == CURLE_OK ? "the connection was closed within the head of the response"
                           : curl_easy_strerror(aCode);
}

/// Returns whether a body is `{"error":{"kind":…}}` with the given kind.
bool
HasErrorKind(const std::string& aBody, const std::string& aKind)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  if (aKind.empty() || !body.is_object() || !body.contains("error")) {
    return false;
  }
  const auto& error = body["error"];
  return error.is_object() && error.contains("kind") && error["kind"] == aKind;
}

/// Sets TCP_USER_TIMEOUT. A connection whose state an intermediary has dropped then fails early, instead of only after
/// the long timeout of a call that waits for new data.
int
SetUnacknowledgedTimeout(void* /*aContext*/, curl_socket_t aSocket, curlsocktype /*aPurpose*/)
{
  setsockopt(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMilliseconds,
             sizeof(kUnacknowledgedTimeoutMilliseconds));
  return CURL_SOCKOPT_OK;
}

/// Initializes libcurl once per process.
void
InitializeLibrary()
{
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kInitialized);
}

void
SetOptions(CURL* aHandle, const PlatformCall& aCall, const PlatformSettings& aSettings)
{
  const auto timeout = kSlowestResponse * aSettings.callTimeout + aCall.wait;
  curl_easy_setopt(aHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aHandle, CURLOPT_PROXY, "");
  curl_easy_setopt(aHandle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(aHandle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(aSettings.connectTimeout.count()));
  curl_easy_setopt(aHandle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(aHandle, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(aHandle, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
  curl_easy_setopt(aHandle, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
  curl_easy_setopt(aHandle, CURLOPT_SOCKOPTFUNCTION, &SetUnacknowledgedTimeout);
  curl_easy_setopt(aHandle, CURLOPT_SOCKOPTDATA, nullptr);
  curl_easy_setopt(aHandle, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(aSettings.maxConnectionAge.count()));
  curl_easy_setopt(aHandle, CURLOPT_CUSTOMREQUEST, aCall.method.c_str());
  if (aCall.method == "POST") {
    curl_easy_setopt(aHandle, CURLOPT_POSTFIELDS, aCall.body.data());
    curl_easy_setopt(aHandle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aCall.body.size()));
  }
}

void
SetCallbacks(CURL* aHandle, Transfer& aTransfer)
{
  curl_easy_setopt(aHandle, CURLOPT_WRITEFUNCTION, &ReceiveBody);
  curl_easy_setopt(aHandle, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(aHandle, CURLOPT_HEADERFUNCTION, &ReceiveHeaderLine);
  curl_easy_setopt(aHandle, CURLOPT_HEADERDATA, &aTransfer);
}

struct HeaderListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

/// Sets the content type and disables the round trip of `Expect: 100-continue`.
HeaderList
MakeHeaders(const PlatformCall& aCall)
{
  HeaderList headers(curl_slist_append(nullptr, "Content-Type: application/json"));
  curl_slist_append(headers.get(), "Expect:");
  for (const std::string& line : aCall.headers) {
    curl_slist_append(headers.get(), line.c_str());
  }
  return headers;
}

/// @return the value of a header of the response; empty if there is none
std::string
ReadHeader(CURL* aHandle, const std::string& aName)
{
  curl_header* header = nullptr;
  const bool isFound = !aName.empty() && curl_easy_header(aHandle, aName.c_str(), 0, CURLH_HEADER,
                                                          -1, &header) == CURLHE_OK;
  return isFound ? std::string(header->value) : std::string();
}

} // namespace

PlatformHttpClient::PlatformHttpClient(std::string aBaseUrl, PlatformSettings aSettings)
  : baseUrl(std::move(aBaseUrl))
  , settings(aSettings)
{
  InitializeLibrary();
  while (!this->baseUrl.empty() && this->baseUrl.back() == '/') {
    this->baseUrl.pop_back();
  }
}

PlatformHttpClient::~PlatformHttpClient() = default;

Result<PlatformResponse>
PlatformHttpClient::Call(const PlatformCall& aCall)
{
  if (this->interrupted) {
    return Error(ErrorKind::PlatformUnavailable, "stopping");
  }
  Handle handle = this->AcquireHandle();
  if (handle.easy == nullptr || handle.multi == nullptr) {
    return Error(ErrorKind::PlatformUnavailable, "failed to create a libcurl handle");
  }

  // Perform the call
  const std::string url = this->baseUrl + aCall.path;
  const HeaderList headers = MakeHeaders(aCall);
  Transfer transfer;
  transfer.maxBytes = this->settings.maxBodyBytes;
  transfer.discardsBody = aCall.discardsBody;
  CURL* const easy = handle.easy.get();
  curl_easy_reset(easy);
  SetOptions(easy, aCall, this->settings);
  SetCallbacks(easy, transfer);
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
  const CURLcode code = this->Perform(handle, aCall, transfer.body);

  // Evaluate the result
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  const bool isIntendedAbort = transfer.discardsBody && code == CURLE_WRITE_ERROR;
  // libcurl accepts a connection that is closed within the head as the end of a response without a body
  const bool hasHead = transfer.headCheck.IsComplete() && transfer.headCheck.Fault().empty();
  if ((code != CURLE_OK && !isIntendedAbort) || !hasHead) {
    this->CloseIdleHandles();
    return this->MakeUnavailableError(DescribeFailure(transfer, code), nullptr);
  }
  const bool isUnavailable =
    status == kTooManyRequests || status == kRequestTimeout || status >= kFirstServerError;
  if (isUnavailable &&
      !(status == kUnavailable && HasErrorKind(transfer.body, aCall.expectedErrorKind))) {
    const Error error = this->MakeUnavailableError(fmt::format("status {}", status), easy);
    this->ReleaseHandle(std::move(handle));
    return error;
  }
  std::string header = ReadHeader(easy, aCall.responseHeader);
  this->ReleaseHandle(std::move(handle));
  return PlatformResponse{ static_cast<int>(status), std::move(transfer.body), std::move(header) };
}

CURLcode
PlatformHttpClient::Perform(Handle& aHandle, const PlatformCall& aCall,
                            const std::string& aBody) const
{
  CURLM* const multi = aHandle.multi.get();
  curl_multi_add_handle(multi, aHandle.easy.get());
  CURLcode code = CURLE_OPERATION_TIMEDOUT;
  std::size_t received = 0;
  auto silentSince = std::chrono::steady_clock::now();
  auto timeout = this->settings.callTimeout + aCall.wait;
  for (;;) {
    int running = 0;
    curl_multi_perform(multi, &running);
    int remainingMessages = 0;
    if (const CURLMsg* message = curl_multi_info_read(multi, &remainingMessages)) {
      code = message->data.result;
      break;
    }
    const auto now = std::chrono::steady_clock::now();
    if (aBody.size() != received) {
      received = aBody.size();
      silentSince = now;
      timeout = this->settings.callTimeout;
    }
    const auto remaining = std::chrono::ceil<Milliseconds>(silentSince + timeout - now);
    if (remaining <= Milliseconds(0)) {
      break;
    }
    if (this->interrupted) {
      code = CURLE_ABORTED_BY_CALLBACK;
      break;
    }
    const auto wait = std::min(remaining, kInterruptCheckInterval);
    curl_multi_poll(multi, nullptr, 0, static_cast<int>(wait.count()), nullptr);
  }
  // Known only while the transfer belongs to the multi handle
  curl_easy_getinfo(aHandle.easy.get(), CURLINFO_ACTIVESOCKET, &aHandle.idleSocket);
  curl_multi_remove_handle(multi, aHandle.easy.get());
  return code;
}

void
PlatformHttpClient::Interrupt()
{
  this->interrupted = true;
}

PlatformHttpClient::Handle
PlatformHttpClient::AcquireHandle()
{
  const std::lock_guard lock(this->mutex);
  while (!this->idle.empty()) {
    Handle handle = std::move(this->idle.back());
    this->idle.pop_back();
    // libcurl would take an extra response to an earlier call for that to the next one
    if (handle.idleSocket == CURL_SOCKET_BAD || !HasUnreadBytes(handle.idleSocket)) {
      return handle;
    }
  }
  Handle handle;
  handle.multi.reset(curl_multi_init());
  handle.easy.reset(curl_easy_init());
  return handle;
}

void
PlatformHttpClient::ReleaseHandle(Handle aHandle)
{
  const std::lock_guard lock(this->mutex);
  if (this->idle.size() < this->settings.maxIdleHandles) {
    this->idle.push_back(std::move(aHandle));
  }
}

void
PlatformHttpClient::CloseIdleHandles()
{
  const std::lock_guard lock(this->mutex);
  this->idle.clear();
}

Error
PlatformHttpClient::MakeUnavailableError(const std::string& aReason, CURL* aHandle) const
{
  curl_off_t seconds = 0;
  if (aHandle != nullptr) {
    curl_easy_getinfo(aHandle, CURLINFO_RETRY_AFTER, &seconds);
  }
  const Milliseconds delay =
    seconds > 0 ? Milliseconds(Seconds(seconds)) : this->settings.retryAfter;
  return Error(ErrorKind::PlatformUnavailable, "the call to the platform failed: " + aReason)
    .WithRetryAfter(delay);
}

std::string
EscapePath(std::string_view aText, bool aKeepSlash)
{
  std::string escaped;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    const bool isAlphanumeric = byte < 0x80 && std::isalnum(byte) != 0;
    const bool isUnreservedMark =
      std::string_view("-._~").find(character) != std::string_view::npos;
    if (isAlphanumeric || isUnreservedMark || (aKeepSlash && character == '/')) {
      escaped += character;
    } else {
      escaped += fmt::format("%{:02X}", byte);
    }
  }
  return escaped;
}

} // namespace lagoonward
