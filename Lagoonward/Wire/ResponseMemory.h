#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Bounds the memory that the responses of all requests occupy together, from their first byte until their callers have
/// read them. A response that would exceed the bound evicts others: those of the source that occupies most, its largest
/// first. So the slow responses of a faulty endpoint do not cost the responses of others, nor new ones. Not thread-safe:
/// used on one TrafficLoop.
class ResponseMemory
{
public:
  /// The memory of one response, until it is destroyed.
  class Account
  {
  public:
    /// @param aOwner      must outlive the account
    /// @param aSource     what sends the response, for example an endpoint's id; empty for a source of its own
    /// @param aOnEvicted  called at most once: must free the memory of the response, and may neither create nor destroy
    ///                    accounts
    Account(ResponseMemory& aOwner, std::string_view aSource, std::function<void()> aOnEvicted);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Sets how many bytes the response occupies.
    /// @return false if it has been evicted, now or earlier; then it occupies nothing
    bool Set(std::size_t aBytes);

    /// Appends to a buffer of the response, after the memory that the buffer has to grow by has been added.
    /// @return false if the response has been evicted, now or earlier; then the buffer is not changed
    bool Append(std::string& aBuffer, std::string_view aBytes);

    [[nodiscard]] std::size_t Bytes() const { return this->bytes; }

  private:
    friend class ResponseMemory;
    void Evict();

    ResponseMemory& owner;
    std::string source;
    std::function<void()> onEvicted;
    std::size_t position; ///< In the owner's list.
    std::size_t bytes = 0;
    bool isEvicted = false;
  };

  /// @param aMaximum  in bytes
  explicit ResponseMemory(std::size_t aMaximum);
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  [[nodiscard]] std::size_t Maximum() const { return this->maximum; }
  /// Bytes of all responses.
  [[nodiscard]] std::size_t Held() const { return this->held; }
  /// Why a response was stopped, for logs.
  [[nodiscard]] std::string EvictionReason() const;

private:
  /// Evicts responses until the others are within the bound. Looks at all of them only then, and evicts each once.
  void EvictExcess();
  [[nodiscard]] Account& SelectVictim() const;

  std::size_t maximum;
  std::size_t held = 0;
  std::vector<Account*> accounts;
};

} // namespace lagoonward
