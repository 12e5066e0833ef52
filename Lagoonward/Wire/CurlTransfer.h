#pragma once

#include "Lagoonward/Wire/HttpTransfer.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace lagoonward {

struct EasyDeleter
{
  void operator()(CURL* aEasy) const { curl_easy_cleanup(aEasy); }
};

struct HeaderListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

/// One running transfer of a TrafficLoop and everything libcurl holds pointers to.
struct CurlTransfer
{
  CurlTransfer();
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  /// Tells the library what to send, how, and who hears of it.
  void Prepare(const HttpTransferRequest& aRequest, const HttpClientSettings& aSettings);

  /// Describes the end from the library's result.
  [[nodiscard]] TransferEnd DescribeEnd(CURLcode aResult) const;

  TransferId id = 0;
  std::unique_ptr<CURL, EasyDeleter> easy;
  std::unique_ptr<curl_slist, HeaderListDeleter> headers;
  std::string body;
  HttpTransferObserver* observer = nullptr; ///< Null when nobody listens.
  Milliseconds unacknowledgedTimeout{ 0 };
  bool singleSend = false;
  bool wasSent = false;            ///< The library has been about to send the request once.
  bool isWithdrawn = false;        ///< It was not to be sent any more.
  std::function<bool()> mayBeSent; ///< See HttpTransferRequest.

private:
  void SetRequest(const HttpTransferRequest& aRequest);
  void SetConnection(const HttpTransferRequest& aRequest, const HttpClientSettings& aSettings);
  void SetCallbacks();

  /// Called each time before the request is sent; the library may do so again by itself when a kept
  /// connection was closed at the other end.
  static int OnBeforeSend(void* aTransfer, char* aRemote, char* aLocal, int aRemotePort,
                          int aLocalPort);
  /// Lets a connection to a host that has vanished end by itself.
  static int OnNewSocket(void* aTransfer, curl_socket_t aSocket, curlsocktype aPurpose);
  static std::size_t OnBytes(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer);
  static std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer);
};

} // namespace lagoonward
