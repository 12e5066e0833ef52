#include "Lagoonward/Providers/PlatformHttpClient.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <cctype>

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

/// State of one call that libcurl's callbacks use.
struct Transfer
{
  std::string body;
  std::size_t maxBytes = 0;
  bool discardsBody = false;
  bool tooLong = false;
  const std::atomic<bool>* interrupted = nullptr;
};

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

int
CheckInterrupted(void* aTransfer, curl_off_t /*aDownTotal*/, curl_off_t /*aDown*/,
                 curl_off_t /*aUpTotal*/, curl_off_t /*aUp*/)
{
  return static_cast<Transfer*>(aTransfer)->interrupted->load() ? 1 : 0;
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
  const auto timeout = aSettings.callTimeout + aCall.wait;
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
  curl_easy_setopt(aHandle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(aHandle, CURLOPT_XFERINFOFUNCTION, &CheckInterrupted);
  curl_easy_setopt(aHandle, CURLOPT_XFERINFODATA, &aTransfer);
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
  if (handle == nullptr) {
    return Error(ErrorKind::PlatformUnavailable, "failed to create a libcurl handle");
  }

  // Perform the call
  const std::string url = this->baseUrl + aCall.path;
  const HeaderList headers = MakeHeaders(aCall);
  Transfer transfer;
  transfer.maxBytes = this->settings.maxBodyBytes;
  transfer.discardsBody = aCall.discardsBody;
  transfer.interrupted = &this->interrupted;
  curl_easy_reset(handle.get());
  SetOptions(handle.get(), aCall, this->settings);
  SetCallbacks(handle.get(), transfer);
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  const CURLcode code = curl_easy_perform(handle.get());

  // Evaluate the result
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  const bool isIntendedAbort = transfer.discardsBody && code == CURLE_WRITE_ERROR;
  if (code != CURLE_OK && !isIntendedAbort) {
    this->CloseIdleHandles();
    const char* reason = transfer.tooLong ? "the response is too long" : curl_easy_strerror(code);
    return this->MakeUnavailableError(reason, nullptr);
  }
  const bool isUnavailable =
    status == kTooManyRequests || status == kRequestTimeout || status >= kFirstServerError;
  if (isUnavailable &&
      !(status == kUnavailable && HasErrorKind(transfer.body, aCall.expectedErrorKind))) {
    const Error error = this->MakeUnavailableError(fmt::format("status {}", status), handle.get());
    this->ReleaseHandle(std::move(handle));
    return error;
  }
  this->ReleaseHandle(std::move(handle));
  return PlatformResponse{ static_cast<int>(status), std::move(transfer.body) };
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
  if (this->idle.empty()) {
    return Handle(curl_easy_init());
  }
  Handle handle = std::move(this->idle.back());
  this->idle.pop_back();
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
