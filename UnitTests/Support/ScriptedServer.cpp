#include "UnitTests/Support/ScriptedServer.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace lagoonward::testing {

namespace {

constexpr int kPollIntervalMilliseconds = 20;

/// Length of the part of a request that a script waits for, or zero while that part is incomplete.
std::size_t
RequestLength(const std::string& aBytes, ScriptedServer::Start aStart)
{
  const std::size_t head = aBytes.find("\r\n\r\n");
  if (head == std::string::npos) {
    return 0;
  }
  if (aStart == ScriptedServer::Start::Head) {
    return head + 4;
  }
  std::size_t body = 0;
  const std::size_t length = aBytes.find("Content-Length: ");
  if (length < head) {
    body = std::strtoul(aBytes.c_str() + length + sizeof("Content-Length: ") - 1, nullptr, 10);
  }
  const std::size_t total = head + 4 + body;
  return aBytes.size() >= total ? total : 0;
}

bool
IsClosed(int aSocket, Milliseconds aWait)
{
  pollfd descriptor{ aSocket, POLLRDHUP, 0 };
  return ::poll(&descriptor, 1, static_cast<int>(aWait.count())) > 0;
}

} // namespace

ScriptedServer::ScriptedServer(Handler aHandler, std::uint16_t aPort, Start aStart)
  : handler(std::move(aHandler))
  , start(aStart)
  , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int reuse = 1;
  ::setsockopt(this->listener.Get(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  socklen_t size = sizeof(address);
  if (::bind(this->listener.Get(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(this->listener.Get(), SOMAXCONN) != 0) {
    std::abort();
  }
  ::getsockname(this->listener.Get(), reinterpret_cast<sockaddr*>(&address), &size);
  this->port = ntohs(address.sin_port);
  this->acceptor = std::thread([this] { this->Accept(); });
}

ScriptedServer::~ScriptedServer()
{
  this->stopping = true;
  this->acceptor.join();
  for (std::thread& connection : this->connections) {
    connection.join();
  }
}

std::vector<std::string>
ScriptedServer::Requests() const
{
  const std::lock_guard lock(this->mutex);
  return this->requests;
}

void
ScriptedServer::Accept()
{
  while (!this->stopping) {
    pollfd descriptor{ this->listener.Get(), POLLIN, 0 };
    if (::poll(&descriptor, 1, kPollIntervalMilliseconds) <= 0) {
      continue;
    }
    const int socket = ::accept4(this->listener.Get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) {
      const std::lock_guard lock(this->mutex);
      this->connections.emplace_back([this, socket] { this->Serve(socket); });
    } else {
      std::this_thread::sleep_for(Milliseconds(kPollIntervalMilliseconds));
    }
  }
}

void
ScriptedServer::Serve(int aSocket)
{
  const UniqueFd socket(aSocket);
  std::string received;
  while (!this->stopping) {
    pollfd descriptor{ aSocket, POLLIN, 0 };
    if (::poll(&descriptor, 1, kPollIntervalMilliseconds) <= 0) {
      continue;
    }
    std::array<char, 4096> buffer{};
    const ssize_t count = ::recv(aSocket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return;
    }
    received.append(buffer.data(), static_cast<std::size_t>(count));
    while (const std::size_t length = RequestLength(received, this->start)) {
      const std::string request = received.substr(0, length);
      received.erase(0, length);
      {
        const std::lock_guard lock(this->mutex);
        this->requests.push_back(request);
      }
      if (!this->RunScript(aSocket, this->handler(request))) {
        return;
      }
    }
  }
}

bool
ScriptedServer::RunScript(int aSocket, const Script& aScript)
{
  for (const ScriptStep& step : aScript) {
    switch (step.kind) {
      case ScriptStep::Kind::Send:
        static_cast<void>(::send(aSocket, step.bytes.data(), step.bytes.size(), MSG_NOSIGNAL));
        break;
      case ScriptStep::Kind::Wait:
        for (Milliseconds left = step.span; left > Milliseconds::zero() && !this->stopping;
             left -= Milliseconds(kPollIntervalMilliseconds)) {
          if (IsClosed(aSocket, std::min(left, Milliseconds(kPollIntervalMilliseconds)))) {
            ++this->abandoned;
            return false;
          }
        }
        break;
      case ScriptStep::Kind::Await:
        while (!step.condition() && !this->stopping) {
          if (IsClosed(aSocket, Milliseconds(kPollIntervalMilliseconds))) {
            ++this->abandoned;
            return false;
          }
        }
        break;
      case ScriptStep::Kind::CloseAndStopListening:
        ::shutdown(this->listener.Get(), SHUT_RDWR);
        [[fallthrough]];
      case ScriptStep::Kind::Close:
        ::shutdown(aSocket, SHUT_RDWR);
        return false;
      case ScriptStep::Kind::Finish: {
        ::shutdown(aSocket, SHUT_WR);
        std::array<char, 4096> ignored{};
        while (::recv(aSocket, ignored.data(), ignored.size(), 0) > 0) {
        }
        return false;
      }
      case ScriptStep::Kind::ResetAndStopListening:
        ::shutdown(this->listener.Get(), SHUT_RDWR);
        [[fallthrough]];
      case ScriptStep::Kind::Reset: {
        const linger now{ 1, 0 };
        ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        return false;
      }
    }
  }
  ++this->completed;
  return true;
}

} // namespace lagoonward::testing
