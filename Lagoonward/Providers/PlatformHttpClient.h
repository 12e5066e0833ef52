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

/// One call of a platform's service.
struct PlatformCall
{
  std::string method = "GET";
  std::string path;                 ///< Behind the base URL, already escaped, with its query.
  std::string body;                 ///< Sent with POST only.
  std::vector<std::string> headers; ///< Further header lines, `Name: value`.
  Milliseconds wait{ 0 };           ///< How long the service itself may hold the answer back.
  bool discardsBody = false;        ///< Ends the call once the status is known.
  std::string refusal; ///< Error kind that is the service's answer under 503 too; may be empty.
};

/// What the service answered.
struct PlatformAnswer
{
  int status = 0;
  std::string body;
};

/// Blocking HTTP client for one base URL. Reuses connections; once a call goes unanswered, all idle
/// ones are closed, as something between the two ends may have lost track of them. Safe from any
/// thread; calls do not wait for each other.
class PlatformHttpClient
{
public:
  PlatformHttpClient(std::string aBaseUrl, PlatformSettings aSettings);
  ~PlatformHttpClient();
  PlatformHttpClient(const PlatformHttpClient&) = delete;
  PlatformHttpClient& operator=(const PlatformHttpClient&) = delete;

  /// @return the answer, whatever its status, except that 408, 429, 5xx (unless its error kind is the
  ///         call's `refusal`), silence and answers that are too long become PlatformUnavailable, with
  ///         `retryAfter`. Such a call may still have taken effect.
  [[nodiscard]] Result<PlatformAnswer> Call(const PlatformCall& aCall);

  /// Makes calls in progress, and all later ones, fail within about a second.
  void Interrupt();

private:
  struct HandleDeleter
  {
    void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  };
  using Handle = std::unique_ptr<CURL, HandleDeleter>;

  [[nodiscard]] Handle TakeHandle();
  void ReturnHandle(Handle aHandle);
  void DropIdleHandles();
  [[nodiscard]] Error Unavailable(const std::string& aReason, CURL* aHandle) const;

  std::string baseUrl;
  PlatformSettings settings;
  std::atomic<bool> interrupted{ false };
  std::mutex mutex;         ///< Guards `idle`.
  std::vector<Handle> idle; ///< Handles that no call uses, with their open connections.
};

/// Escapes one part of a path; `/` stays when aKeepSlash.
[[nodiscard]] std::string
EscapePath(std::string_view aText, bool aKeepSlash = false);

} // namespace lagoonward
