#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Providers/PlatformSettings.h"

#include <curl/curl.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// One call to a service of the platform.
struct PlatformCall
{
  std::string method = "GET";
  std::string path;                 ///< Appended to the base URL; escaped, with its query.
  std::string body;                 ///< Sent only with POST.
  std::vector<std::string> headers; ///< Additional header lines, `Name: value`.
  Milliseconds wait{ 0 };           ///< Time for which the service may delay its response.
  std::string
    responseHeader; ///< Name of the header of the response that is returned; empty for none.
  bool discardsBody = false; ///< Aborts the call once the status is received.
  std::string
    expectedErrorKind; ///< Error kind that is a valid response also with status 503; may be empty.
};

/// The response of the service.
struct PlatformResponse
{
  int status = 0;
  std::string body;
  std::string header; ///< Value of PlatformCall::responseHeader; empty if the response lacks it.
};

/// Blocking HTTP client for one base URL. Reuses connections. When a call gets no response, all idle connections are
/// closed, because an intermediary may have dropped their state. Responses name no call, so a connection on which bytes
/// arrive between two calls is closed as well. Thread-safe; calls run concurrently.
class PlatformHttpClient
{
public:
  PlatformHttpClient(std::string aBaseUrl, PlatformSettings aSettings);
  ~PlatformHttpClient();
  PlatformHttpClient(const PlatformHttpClient&) = delete;
  PlatformHttpClient& operator=(const PlatformHttpClient&) = delete;

  /// @return the response with any status, except that 408, 429, 5xx (unless the call expects its error
  ///         kind), timeouts and responses that are too long give PlatformUnavailable with `retryAfter`.
  ///         Such a call may still have taken effect. A response that keeps arriving is not cut off by
  ///         `callTimeout`, whatever its size.
  [[nodiscard]] Result<PlatformResponse> Call(const PlatformCall& aCall);

  /// Makes calls in progress and all later calls fail within about a second.
  void Interrupt();

private:
  struct EasyDeleter
  {
    void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  };
  struct MultiDeleter
  {
    void operator()(CURLM* aHandle) const { curl_multi_cleanup(aHandle); }
  };

  /// One libcurl transfer at a time, with the connections that it has opened.
  struct Handle
  {
    std::unique_ptr<CURLM, MultiDeleter> multi;
    std::unique_ptr<CURL, EasyDeleter> easy;
    curl_socket_t idleSocket =
      CURL_SOCKET_BAD; ///< Of the open connection between two calls; CURL_SOCKET_BAD for none.
  };

  /// Runs a transfer that is set up, until it ends or no more of the response arrives in time.
  [[nodiscard]] CURLcode Perform(Handle& aHandle, const PlatformCall& aCall,
                                 const std::string& aBody) const;
  [[nodiscard]] Handle AcquireHandle();
  void ReleaseHandle(Handle aHandle);
  void CloseIdleHandles();
  [[nodiscard]] Error MakeUnavailableError(const std::string& aReason, CURL* aHandle) const;

  std::string baseUrl;
  PlatformSettings settings;
  std::atomic<bool> interrupted{ false };
  std::mutex mutex;         ///< Guards `idle`.
  std::vector<Handle> idle; ///< Handles that are not in use, with their open connections.
};

/// Percent-encodes a path segment. `/` is not encoded if aKeepSlash.
[[nodiscard]] std::string
EscapePath(std::string_view aText, bool aKeepSlash = false);

} // namespace lagoonward
