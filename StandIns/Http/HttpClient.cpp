#include "StandIns/Http/HttpClient.h"

#include <curl/curl.h>

#include <memory>

namespace lagoonward::standins {

namespace {

struct CurlDeleter
{
  void operator()(CURL* aCurl) const { curl_easy_cleanup(aCurl); }
};

std::size_t
Collect(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

} // namespace

HttpAnswer
Fetch(const std::string& aMethod, const std::string& aUrl, const std::string& aBody,
      std::chrono::milliseconds aTimeout)
{
  HttpAnswer answer;
  const std::unique_ptr<CURL, CurlDeleter> curl(curl_easy_init());
  if (!curl) {
    return answer;
  }
  curl_easy_setopt(curl.get(), CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, aMethod.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &Collect);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer.body);
  if (!aBody.empty()) {
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, aBody.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
  }
  if (curl_easy_perform(curl.get()) != CURLE_OK) {
    return answer;
  }
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &answer.status);
  curl_off_t seconds = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RETRY_AFTER, &seconds);
  answer.retryAfter = std::chrono::seconds(seconds);
  return answer;
}

} // namespace lagoonward::standins
