#include "UnitTests/Relay/RelayFixture.h"

// A call to move a stream stops the run at its endpoint, which closes the stream without its end. Where the stream has
// neither a length nor chunks, that looks like the end of a complete one.

namespace lagoonward::testing {

namespace {

/// What marks the end of the streams that an endpoint sends.
enum class Framing
{
  Connection,
  Chunks,
};

std::ostream&
operator<<(std::ostream& aStream, Framing aFraming)
{
  return aStream << (aFraming == Framing::Chunks ? "chunks" : "connection");
}

constexpr Framing kFramings[] = { Framing::Connection, Framing::Chunks };

const std::string kHandle = "h-1";

std::string
MakeEvent(int aNumber)
{
  return fmt::format("id: {}\ndata: {}\n\n", aNumber, aNumber);
}

std::string
MakeEvents(int aFirst, int aLast)
{
  std::string events;
  for (int number = aFirst; number <= aLast; ++number) {
    events += MakeEvent(number);
  }
  return events;
}

/// Two endpoints that serve one stream of four events. The one that runs it is leaving once it has sent the first, and
/// stops the run after the second event when it is called to move it.
class MovedStream
{
public:
  static constexpr int kEvents = 4;

  explicit MovedStream(Framing aFraming, const RelaySettings& aSettings = {},
                       SnapshotGuard* aGuard = nullptr)
    : framing(aFraming)
    , left([this](const std::string& aRequest) { return this->Answer(aRequest, this->left); })
    , right([this](const std::string& aRequest) { return this->Answer(aRequest, this->right); })
    , relay({ &this->left, &this->right }, {}, {}, aGuard, aSettings)
  {
  }

  /// Runs the stream until the caller has what it gets.
  Received Run()
  {
    this->relay.Submit(this->caller, RelayKind::Stream, false, Seconds(5));
    while (!this->caller.HasEvents()) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
    this->relay.MarkLeaving(this->source.load()->Port());
    return this->caller.Wait();
  }

  /// Waits until the state is released, but not for ever.
  void AwaitRelease() const
  {
    constexpr int kMaximumPolls = 500;
    for (int poll = 0; poll < kMaximumPolls && this->releases == 0; ++poll) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }

  /// Reply to the call, some time after the stream was closed.
  Script moveReply;
  /// What the endpoint does with the stream once it has received the call; see the default.
  std::function<Script()> onCall = [this] {
    return Script{ { Kind::Send, this->Frame(MakeEvent(2)) }, { Kind::Close } };
  };
  /// Called before the reply.
  std::function<void()> beforeReply = [] {};
  /// Whether the stream is closed before the reply.
  bool closesBeforeReply = true;
  /// Whether an endpoint other than the source rejects the stream that is to go on there.
  bool destinationRejects = false;
  bool sourceRejects = false; ///< The same of the source.

  std::atomic<int> begun{ 0 };                 ///< Runs.
  std::atomic<int> calls{ 0 };                 ///< To move the stream.
  std::atomic<const ScriptedServer*> source{}; ///< Where the run began.
  std::atomic<const ScriptedServer*>
    continuedAt{};                ///< Null if the stream did not go on from a copy.
  std::atomic<int> releases{ 0 }; ///< Of the state.
  std::atomic<const ScriptedServer*> releasedAt{};
  std::atomic<int> continuedAfter{ 0 }; ///< Number of the event.

  [[nodiscard]] std::string Frame(const std::string& aBytes) const
  {
    return this->framing == Framing::Chunks ? Chunk(aBytes) : aBytes;
  }

  /// The end of a complete stream.
  [[nodiscard]] Script End() const
  {
    return { { Kind::Send, this->framing == Framing::Chunks ? "0\r\n\r\n" : "" }, { Kind::Close } };
  }

  [[nodiscard]] const ScriptedServer& Destination() const
  {
    return this->source == &this->left ? this->right : this->left;
  }

  TestCaller caller;

private:
  [[nodiscard]] Script Answer(const std::string& aRequest, const ScriptedServer& aServer)
  {
    if (aRequest.starts_with("POST /move ")) {
      return this->AnswerCall();
    }
    if (aRequest.starts_with(fmt::format("DELETE /copies/{} ", kHandle))) {
      ++this->releases;
      this->releasedAt = &aServer;
      return Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    if (aRequest.find(fmt::format("/{}\r\n", kHandle)) != std::string::npos) {
      return this->Continue(aRequest, aServer);
    }
    ++this->begun;
    this->source = &aServer;
    Script script{ { Kind::Send, this->Head() + this->Frame(MakeEvent(1)) },
                   { Kind::Await, {}, {}, [this] { return this->calls > 0; } } };
    for (ScriptStep& step : this->onCall()) {
      if (step.kind == Kind::Close) {
        script.push_back({ Kind::Await, {}, {}, [this] { return this->isClosing = true; } });
      }
      script.push_back(std::move(step));
    }
    return script;
  }

  [[nodiscard]] Script AnswerCall()
  {
    ++this->calls;
    // Longer than the daemon takes to handle the end of the stream
    Script script{ { Kind::Await,
                     {},
                     {},
                     [this] { return !this->closesBeforeReply || this->isClosing; } },
                   { Kind::Wait, {}, Milliseconds(this->closesBeforeReply ? 100 : 0) },
                   { Kind::Await, {}, {}, [this] {
                      this->beforeReply();
                      return true;
                    } } };
    script.insert(script.end(), this->moveReply.begin(), this->moveReply.end());
    return script;
  }

  [[nodiscard]] Script Continue(const std::string& aRequest, const ScriptedServer& aServer)
  {
    if (&aServer == this->source ? this->sourceRejects : this->destinationRejects) {
      return Send(
        MakeResponse("", "503 Service Unavailable", "Id: r1\r\nMark: m\r\nNot-Run: 1\r\n"));
    }
    const std::string name = "After: ";
    this->continuedAfter = std::stoi(aRequest.substr(aRequest.find(name) + name.size()));
    this->continuedAt = &aServer;
    Script script = Send(this->Head() + this->Frame(MakeEvents(this->continuedAfter + 1, kEvents)));
    const Script end = this->End();
    script.insert(script.end(), end.begin(), end.end());
    return script;
  }

  [[nodiscard]] std::string Head() const
  {
    return this->framing == Framing::Chunks
             ? kStreamHead
             : "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n";
  }

  Framing framing;
  std::atomic<bool> isClosing{ false }; ///< The source is about to close the stream.
  ScriptedServer left;
  ScriptedServer right;

public:
  RelayFixture relay;
};

Script
Reply(const std::string& aStatus, const std::string& aBody)
{
  return Send(
    fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", aStatus, aBody.size(), aBody));
}

/// Checks that the caller got the complete stream of one run, which went on at that endpoint.
void
CheckContinued(const MovedStream& aStream, const Received& aReceived, const ScriptedServer* aWhere)
{
  BOOST_TEST(!aReceived.aborted);
  BOOST_TEST(aReceived.events == MakeEvents(1, MovedStream::kEvents));
  BOOST_TEST(aStream.continuedAt == aWhere);
  BOOST_TEST(aStream.begun == 1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayMoveEndTests)

// Guards against a part of a stream that callers get as complete: our call stopped the run, and its reply did not say so.
BOOST_AUTO_TEST_CASE(StreamThatMayHaveBeenStoppedIsNotTakenForComplete)
{
  const std::vector<Script> replies{
    { { Kind::Close } },                                  // No reply
    Reply("200 OK", ""),                                  // Not readable
    Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), // Not complete
    Reply("500 Internal Server Error", ""),
    // The connection ends before the body, which would have the handle
    { { Kind::Send, "HTTP/1.1 503 Service Unavailable\r\n\r\n" }, { Kind::Close } },
  };
  for (std::size_t index = 0; index < replies.size(); ++index) {
    BOOST_TEST_CONTEXT("reply " << index)
    {
      MovedStream stream(Framing::Connection);
      stream.moveReply = replies[index];
      const Received received = stream.Run();
      BOOST_TEST(received.aborted);
      BOOST_TEST(received.events == MakeEvents(1, 2));
      BOOST_TEST(stream.begun == 1);
    }
  }
}

// Guards against a part of a stream that callers get as complete: the stream was closed before the reply to our call came.
BOOST_AUTO_TEST_CASE(StreamThatWasStoppedGoesOnAtTheDestination)
{
  for (const Framing framing : kFramings) {
    BOOST_TEST_CONTEXT("end by " << framing)
    {
      MovedStream stream(framing);
      stream.moveReply = Reply("200 OK", kHandle);
      const Received received = stream.Run();
      CheckContinued(stream, received, &stream.Destination());
      BOOST_TEST(stream.continuedAfter == 2);
    }
  }
}

// Guards against streams that are lost although the endpoint that stopped them says that it keeps their state.
BOOST_AUTO_TEST_CASE(StreamThatCouldNotBeCopiedGoesOnAtItsSource)
{
  for (const Framing framing : kFramings) {
    BOOST_TEST_CONTEXT("end by " << framing)
    {
      MovedStream stream(framing);
      stream.moveReply = Reply("503 Service Unavailable", kHandle);
      const Received received = stream.Run();
      CheckContinued(stream, received, stream.source);
    }
  }
}

// Guards against streams that are lost as they have just begun: it was not known yet since when the source may be leaving.
BOOST_AUTO_TEST_CASE(StreamThatHasJustBegunGoesOnAtItsSource)
{
  const SystemClock clock;
  SnapshotGuard guard({}, clock);
  guard.SetAsOf(clock.BootNow());
  MovedStream stream(Framing::Connection, {}, &guard);
  stream.moveReply = Reply("503 Service Unavailable", kHandle);
  const Received received = stream.Run();
  CheckContinued(stream, received, stream.source);
}

// Guards against streams that are lost because the destination has no room any more, although the source keeps their state.
BOOST_AUTO_TEST_CASE(StreamThatItsDestinationRejectsGoesOnAtItsSource)
{
  for (const Framing framing : kFramings) {
    BOOST_TEST_CONTEXT("end by " << framing)
    {
      MovedStream stream(framing);
      stream.destinationRejects = true;
      stream.moveReply = Reply("200 OK", kHandle);
      const Received received = stream.Run();
      CheckContinued(stream, received, stream.source);
    }
  }
}

// Guards against complete streams that are reported as broken, as the run ended by itself when it was called to stop.
BOOST_AUTO_TEST_CASE(StreamThatWasNotStoppedIsComplete)
{
  const std::vector<Script> replies{ Reply("404 Not Found", ""), Reply("409 Conflict", ""),
                                     Reply("503 Service Unavailable", "") };
  for (const Framing framing : kFramings) {
    for (std::size_t index = 0; index < replies.size(); ++index) {
      BOOST_TEST_CONTEXT("end by " << framing << ", reply " << index)
      {
        MovedStream stream(framing);
        stream.moveReply = replies[index];
        stream.onCall = [&stream] {
          Script script = Send(stream.Frame(MakeEvents(2, MovedStream::kEvents)));
          const Script end = stream.End();
          script.insert(script.end(), end.begin(), end.end());
          return script;
        };
        const Received received = stream.Run();
        BOOST_TEST(!received.aborted);
        BOOST_TEST(received.events == MakeEvents(1, MovedStream::kEvents));
        BOOST_TEST(stream.calls == 1);
        BOOST_TEST(stream.begun == 1);
      }
    }
  }
}

// Guards against streams that are lost because the destination announced that it leaves while the state was copied.
BOOST_AUTO_TEST_CASE(StreamGoesOnAtADestinationThatHasBegunToLeave)
{
  MovedStream stream(Framing::Connection);
  stream.moveReply = Reply("200 OK", kHandle);
  stream.beforeReply = [&] { stream.relay.MarkLeaving(stream.Destination().Port()); };
  const Received received = stream.Run();
  CheckContinued(stream, received, &stream.Destination());
}

// Guards against a run that begins a second time in the middle of its stream, because its source had left the list.
BOOST_AUTO_TEST_CASE(StreamGoesOnFromItsCopyAlthoughItsSourceHasGone)
{
  for (const bool isDestinationGone : { false, true }) {
    BOOST_TEST_CONTEXT("destination gone: " << isDestinationGone)
    {
      MovedStream stream(Framing::Connection);
      stream.moveReply = Reply("200 OK", kHandle);
      stream.beforeReply = [&] {
        stream.relay.Remove(stream.source.load()->Port());
        if (isDestinationGone) {
          stream.relay.Remove(stream.Destination().Port());
        }
      };
      const Received received = stream.Run();
      BOOST_TEST(received.aborted == isDestinationGone);
      BOOST_TEST(received.events == MakeEvents(1, isDestinationGone ? 2 : MovedStream::kEvents));
      BOOST_TEST(stream.begun == 1);
    }
  }
}

// Guards against events that are made twice: the reply to the call overtook the last ones of the stopped run.
BOOST_AUTO_TEST_CASE(EventsOfAStoppedRunArriveBeforeItGoesOn)
{
  for (const Framing framing : kFramings) {
    BOOST_TEST_CONTEXT("end by " << framing)
    {
      MovedStream stream(framing);
      stream.closesBeforeReply = false;
      stream.moveReply = Reply("200 OK", kHandle);
      stream.onCall = [&stream] {
        return Script{ { Kind::Wait, {}, Milliseconds(50) },
                       { Kind::Send, stream.Frame(MakeEvents(2, 3)) },
                       { Kind::Close } };
      };
      const Received received = stream.Run();
      BOOST_TEST(!received.aborted);
      BOOST_TEST(received.events == MakeEvents(1, MovedStream::kEvents));
      BOOST_TEST(stream.continuedAfter == 3);
    }
  }
}

// Guards against a part of a stream that callers get as complete: the call had failed before, and was forgotten.
BOOST_AUTO_TEST_CASE(EndAfterAFailedCallProvesNothing)
{
  struct Case
  {
    Script reply;
    bool provesComplete;
  };
  const std::vector<Case> cases{ { { { Kind::Close } }, false },
                                 { Reply("500 Internal Server Error", ""), false },
                                 { Reply("503 Service Unavailable", ""), true },
                                 { Reply("409 Conflict", ""), true } };
  for (std::size_t index = 0; index < cases.size(); ++index) {
    BOOST_TEST_CONTEXT("reply " << index)
    {
      MovedStream stream(Framing::Connection);
      stream.closesBeforeReply = false;
      stream.moveReply = cases[index].reply;
      stream.onCall = [] {
        return Script{ { Kind::Wait, {}, Milliseconds(100) },
                       { Kind::Send, MakeEvents(2, MovedStream::kEvents) },
                       { Kind::Close } };
      };
      const Received received = stream.Run();
      BOOST_TEST(received.aborted != cases[index].provesComplete);
      BOOST_TEST(received.events == MakeEvents(1, MovedStream::kEvents));
    }
  }
}

// Guards against copies that occupy memory at endpoints until their timeout: the stream ended before the reply, or nothing
// could use the copy.
BOOST_AUTO_TEST_CASE(CopyThatNothingUsesIsReleased)
{
  enum class Reason
  {
    EndedByItself,
    CallerLeft,
    ReplyCameLate,
    EndpointsReject,
  };
  for (const Reason reason : { Reason::EndedByItself, Reason::CallerLeft, Reason::ReplyCameLate,
                               Reason::EndpointsReject }) {
    BOOST_TEST_CONTEXT("reason " << static_cast<int>(reason))
    {
      RelaySettings settings;
      settings.moveTimeout = Milliseconds(reason == Reason::ReplyCameLate ? 20 : 1500);
      MovedStream stream(Framing::Chunks, settings);
      stream.moveReply = Reply("200 OK", kHandle);
      if (reason == Reason::EndedByItself) {
        stream.onCall = [&stream] { return stream.End(); };
      }
      stream.destinationRejects = stream.sourceRejects = reason == Reason::EndpointsReject;
      if (reason == Reason::CallerLeft) {
        stream.beforeReply = [&] {
          stream.caller.disconnected = true;
          std::this_thread::sleep_for(2 * settings.callerCheckInterval);
        };
      }
      static_cast<void>(stream.Run());
      stream.AwaitRelease();
      BOOST_TEST(stream.releases == 1);
      BOOST_TEST(stream.releasedAt == stream.source);
      BOOST_TEST(stream.continuedAt == nullptr);
    }
  }
}

// Guards against the release of a state that a run goes on from.
BOOST_AUTO_TEST_CASE(StateThatIsUsedIsNotReleased)
{
  MovedStream stream(Framing::Connection);
  stream.moveReply = Reply("200 OK", kHandle);
  static_cast<void>(stream.Run());
  std::this_thread::sleep_for(Milliseconds(100));
  BOOST_TEST(stream.continuedAt == &stream.Destination());
  BOOST_TEST(stream.releases == 0);
}

// Guards against requests that reach an endpoint too long after it announced that it leaves: the state of a run was used on
// an old snapshot, in which the endpoint is live.
BOOST_AUTO_TEST_CASE(StreamDoesNotGoOnWhereTheEndpointMayHaveLeft)
{
  enum class Snapshot
  {
    StaysOld,
    IsCurrent,
    ComesLater,
  };
  for (const Snapshot snapshot :
       { Snapshot::StaysOld, Snapshot::IsCurrent, Snapshot::ComesLater }) {
    BOOST_TEST_CONTEXT("snapshot " << static_cast<int>(snapshot))
    {
      const SystemClock clock;
      SnapshotGuardSettings guardSettings;
      guardSettings.maximumAge = Milliseconds(1000);
      guardSettings.refreshTimeout = Seconds(5);
      SnapshotGuard guard(guardSettings, clock);
      guard.SetAsOf(clock.BootNow());
      RelaySettings settings;
      settings.leavingNotice = settings.leavingNoticeMargin;
      MovedStream stream(Framing::Connection, settings, &guard);
      TrafficLoop& loop = stream.relay.service.Loop();
      const auto refresh = [&] { guard.SetAsOf(clock.BootNow()); };
      stream.moveReply = Reply("200 OK", kHandle);
      stream.beforeReply = [&] {
        std::this_thread::sleep_for(guardSettings.maximumAge);
        if (snapshot == Snapshot::IsCurrent) {
          refresh();
        } else if (snapshot == Snapshot::ComesLater) {
          loop.Post([&] { loop.RunAfter(Milliseconds(200), refresh); });
        }
      };
      const Received received = stream.Run();
      const bool goesOn = snapshot != Snapshot::StaysOld;
      BOOST_TEST(received.aborted != goesOn);
      BOOST_TEST(stream.continuedAt == (goesOn ? &stream.Destination() : nullptr));
    }
  }
}

// Guards against requests that count as in flight for ever: their stream had ended when its caller left, and the end waited
// for the reply to the call.
BOOST_AUTO_TEST_CASE(RequestThatEndsDuringItsMoveIsNoLongerInFlight)
{
  MovedStream stream(Framing::Connection);
  stream.moveReply = Reply("404 Not Found", "");
  stream.beforeReply = [&] {
    stream.caller.disconnected = true;
    std::this_thread::sleep_for(2 * RelaySettings().callerCheckInterval);
  };
  BOOST_TEST(stream.Run().aborted);
  stream.relay.service.Stop();
  for (const EndpointInFlightCount& each : stream.relay.market.router.OwnInFlight()) {
    BOOST_TEST(each.count == 0);
  }
}

// Guards against requests that wait until their deadline: their endpoint restarted while it was called to move them.
BOOST_AUTO_TEST_CASE(RestartDuringAMoveEndsTheAttempt)
{
  MovedStream stream(Framing::Chunks);
  stream.onCall = [&stream] {
    return Script{ { Kind::Await,
                     {},
                     {},
                     [&stream] {
                       stream.relay.MarkRestarted(stream.source.load()->Port());
                       return true;
                     } },
                   { Kind::Wait, {}, Seconds(20) } };
  };
  const TimePoint begin = stream.relay.clock.Now();
  BOOST_TEST(stream.Run().aborted);
  BOOST_TEST((stream.relay.clock.Now() - begin < Seconds(4)));
}

// Guards against a part of a stream that callers get as complete: the process of its endpoint ended, whether it had said
// that it leaves or crashed, and the kernel closed the stream in an orderly way. Where the process still runs, the end is
// the stream's own.
BOOST_AUTO_TEST_CASE(StreamThatEndsWithTheProcessOfItsEndpointIsNotComplete)
{
  for (const auto& [end, leaves] :
       { std::pair(Kind::CloseAndStopListening, true), std::pair(Kind::Close, true),
         std::pair(Kind::CloseAndStopListening, false), std::pair(Kind::Close, false) }) {
    BOOST_TEST_CONTEXT("process ends: " << (end == Kind::CloseAndStopListening)
                                        << ", leaves: " << leaves)
    {
      std::atomic<bool> isLeaving{ false };
      const ScriptedServer server([&, end = end](const std::string&) {
        return Script{ { Kind::Send, "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n"
                                     "Content-Type: text/event-stream\r\n\r\n" +
                                       MakeEvent(1) },
                       { Kind::Await, {}, {}, [&] { return isLeaving.load(); } },
                       { end } };
      });
      RelayFixture relay({ &server });
      TestCaller caller;
      relay.Submit(caller, RelayKind::Stream, false, Seconds(5));
      while (!caller.HasEvents()) {
        std::this_thread::sleep_for(Milliseconds(1));
      }
      if (leaves) {
        relay.MarkLeaving(server.Port());
      }
      isLeaving = true;
      BOOST_TEST(caller.Wait().aborted == (end == Kind::CloseAndStopListening));
    }
  }
}

// Guards against a part of a plain response that callers get as complete, for the same reason. One that may be repeated
// goes to another endpoint.
BOOST_AUTO_TEST_CASE(PlainResponseThatEndsWithTheProcessOfItsEndpointIsNotComplete)
{
  for (const RelayKind kind : { RelayKind::Idempotent, RelayKind::NonIdempotent }) {
    const ScriptedServer crashing([](const std::string&) {
      return Script{ { Kind::Send, "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n\r\npart of" },
                     { Kind::CloseAndStopListening } };
    });
    RelayFixture relay({ &crashing });
    TestCaller caller;
    relay.Submit(caller, kind, false, Seconds(5));
    const Received received = caller.Wait();
    BOOST_TEST((!received.reply || received.reply->status != 200));
  }
}

// Guards against a rejection that says that the request did not run: its response waited for the check of its endpoint when
// the daemon shut down.
BOOST_AUTO_TEST_CASE(RequestWhoseResponseIsCheckedHasRun)
{
  std::atomic<bool> isLeaving{ false };
  const ScriptedServer server([&](const std::string&) {
    return Script{ { Kind::Await, {}, {}, [&] { return isLeaving.load(); } },
                   { Kind::Send, "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n\r\nbody" },
                   { Kind::Close } };
  });
  RelaySettings settings;
  settings.terminationDelay = Seconds(5);
  RelayFixture relay({ &server }, {}, {}, nullptr, settings);
  TestCaller caller;
  relay.Submit(caller, RelayKind::NonIdempotent, false, Seconds(10));
  while (server.Requests().empty()) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  relay.MarkLeaving(server.Port());
  isLeaving = true;
  std::this_thread::sleep_for(Milliseconds(200));
  relay.service.AbandonAll();
  const Received received = caller.Wait();
  BOOST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->ran == Ran::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoonward::testing
