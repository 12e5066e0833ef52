#pragma once

#include "Lagoonward/Wire/HttpTransfer.h"
#include "Lagoonward/Wire/IdleSockets.h"
#include "Lagoonward/Wire/ResponseHeadCheck.h"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>

namespace lagoonward {

/// Frees a libcurl easy handle.
struct EasyDeleter
{
  void operator()(CURL* aEasy) const { curl_easy_cleanup(aEasy); }
};

/// Frees a libcurl header list.
struct HeaderListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

/// One running transfer of a TrafficLoop. Owns all objects that libcurl holds pointers to. Used on the loop's thread
/// only.
struct CurlTransfer
{
  CurlTransfer();
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  /// Configures the easy handle: request, connection options and callbacks.
  /// @param aIdleSockets  of the loop; must outlive its connections
  void Prepare(const HttpTransferRequest& aRequest, const HttpClientSettings& aSettings,
               IdleSockets& aIdleSockets);

  /// Whether the transfer has ended before the request was sent because an earlier response left bytes on its connection.
  /// It can then be started again, on a new connection.
  [[nodiscard]] bool ExtractNeedsNewConnection();

  /// Converts libcurl's result into a TransferEnd.
  [[nodiscard]] TransferEnd DescribeEnd(CURLcode aResult) const;

  TransferId id = 0;
  std::unique_ptr<CURL, EasyDeleter> easy;
  std::unique_ptr<curl_slist, HeaderListDeleter> headers;
  SharedBytes body;
  HttpTransferObserver* observer = nullptr; ///< Null for detached and cancelled transfers.
  Milliseconds unacknowledgedTimeout{ 0 };
  std::size_t maximumHeadBytes = 0; ///< See HttpClientSettings.
  bool singleSend = false;
  bool wasSent = false;            ///< libcurl has started to send the request at least once.
  bool isCancelled = false;        ///< `mayBeSent` returned false.
  bool isStopped = false;          ///< See TrafficLoop::StopTransfer().
  std::function<bool()> mayBeSent; ///< See HttpTransferRequest.

private:
  void SetRequest(const HttpTransferRequest& aRequest);
  void SetConnection(const HttpTransferRequest& aRequest, const HttpClientSettings& aSettings);
  void SetCallbacks();
  /// The status of the response so far; zero before its status line.
  [[nodiscard]] int Status() const;
  /// See TransferHead::isFirstOnConnection.
  [[nodiscard]] bool IsFirstOnConnection() const;
  /// Whether the request's body was sent completely.
  [[nodiscard]] bool IsRequestSent() const;
  /// Why the transfer was stopped, for logs.
  [[nodiscard]] std::string StopReason() const;
  void OnHeaderLine(std::string_view aLine);

  /// Called before each attempt to send the request. libcurl sends it again on its own when a reused
  /// connection was closed by the peer.
  static int OnBeforeSend(void* aTransfer, char* aRemote, char* aLocal, int aRemotePort,
                          int aLocalPort);
  /// Sets TCP_USER_TIMEOUT, so that a connection to a host that no longer responds fails.
  static int OnNewSocket(void* aTransfer, curl_socket_t aSocket, curlsocktype aPurpose);
  static std::size_t OnBytes(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer);
  static std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer);

  IdleSockets* idleSockets = nullptr;
  bool hasUnreadBytes =
    false; ///< The connection that it was about to reuse has bytes that nothing has read.
  bool headComplete = false; ///< Of the final response.
  std::size_t headBytes = 0; ///< Of all header lines so far.
  ResponseHeadCheck headCheck;
};

} // namespace lagoonward
