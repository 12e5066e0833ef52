#include "StandIns/Load/Caller.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

/// Tries before a caller gives up.
constexpr int kMaxTries = 60;

/// Tries that may end in "unknown" before a caller takes it for the answer.
constexpr int kMaxUnknown = 3;

/// Wait before the next try, where the system names none, and the longest that is kept.
constexpr Milliseconds kPause{ 150 };
constexpr Milliseconds kLongestPause{ 2000 };

/// A caller waits so long past its deadline.
constexpr Milliseconds kPatience{ 5000 };

/// Largest event that a stream may have.
constexpr std::size_t kMaxEventBytes = std::size_t{ 1 } << 20U;

bool
IsRepeatable(RequestKind aKind)
{
  return aKind != RequestKind::Submission;
}

/// The number behind `Retry-After:`, if that is what the line is.
std::optional<Milliseconds>
ReadRetryAfter(std::string_view aLine)
{
  constexpr std::string_view kName = "retry-after:";
  if (aLine.size() <= kName.size() ||
      !std::equal(kName.begin(), kName.end(), aLine.begin(), [](char aFirst, char aSecond) {
        return aFirst == std::tolower(static_cast<unsigned char>(aSecond));
      })) {
    return std::nullopt;
  }
  auto value = aLine.substr(kName.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  std::int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return Milliseconds(seconds * 1000);
}

} // namespace

Caller::Caller(TrafficLoop& aLoop, const PlannedRequest& aRequest,
               const std::vector<std::string>& aDaemons, std::size_t aFirst, Done aDone)
  : loop(aLoop)
  , request(aRequest)
  , daemons(aDaemons)
  , nextDaemon(aFirst)
  , done(std::move(aDone))
{
}

void
Caller::Start()
{
  this->started = this->loop.GetClock().Now();
  // Whatever happens, there is an end
  this->loop.RunAfter(this->request.deadline + kPatience, [this] {
    if (this->result.outcome == Outcome::Open) {
      this->loop.CancelTransfer(this->transfer);
      this->Finish(Outcome::Lost, "no answer by the deadline; " + this->result.detail);
    }
  });
  this->Try();
}

bool
Caller::IsStreaming() const
{
  return this->result.outcome == Outcome::Open && !this->text.empty();
}

void
Caller::Try()
{
  if (this->result.outcome != Outcome::Open) {
    return;
  }
  ++this->result.tries;
  this->bytes.clear();
  this->error.clear();
  this->sawEnd = false;
  this->retryAfter = Milliseconds(0);
  this->reader.emplace(kMaxEventBytes);
  const auto next = this->BuildTry();
  if (!this->request.continues) {
    this->earlier =
      std::max(this->earlier, this->text, [](const auto& aFirst, const auto& aSecond) {
        return aFirst.size() < aSecond.size();
      });
    this->text.clear();
  }
  ++this->nextDaemon;
  this->transfer = this->loop.StartTransfer(next, *this);
}

HttpTransferRequest
Caller::BuildTry() const
{
  HttpTransferRequest next;
  next.method = "POST";
  next.url = this->daemons[this->nextDaemon % this->daemons.size()] + this->request.path;
  next.body = this->request.body;
  next.freshConnection = true; // the balancer spreads connections
  next.headers = { "Content-Type: application/json",
                   "Authorization: Bearer " + this->request.clientKey,
                   "Idempotency-Key: " + this->request.key,
                   "Lagoonward-Market: " + this->request.market,
                   "Lagoonward-Class: " + this->request.className,
                   fmt::format("Lagoonward-Deadline-Ms: {}", this->request.deadline.count()) };
  if (!IsRepeatable(this->request.kind)) {
    next.headers.emplace_back("Lagoonward-Idempotent: false");
  }
  if (this->request.continues && !this->lastEventId.empty()) {
    next.headers.emplace_back("Last-Event-ID: " + this->lastEventId);
  }
  return next;
}

void
Caller::OnHeaderLine(std::string_view aLine)
{
  if (const auto wait = ReadRetryAfter(aLine)) {
    this->retryAfter = *wait;
  }
}

void
Caller::OnBytes(int aStatus, std::string_view aBytes)
{
  if (aStatus != 200 || !this->request.stream) {
    this->bytes.append(aBytes);
    return;
  }
  this->reader->Consume(aBytes, [this](const StreamEvent& aEvent) { this->OnEvent(aEvent); });
}

void
Caller::OnEvent(const StreamEvent& aEvent)
{
  if (aEvent.type == "error") {
    this->error = aEvent.data;
    return;
  }
  if (aEvent.data == "[DONE]") {
    this->sawEnd = true;
    return;
  }
  const auto event = json::parse(aEvent.data, nullptr, false);
  if (event.is_discarded() || !event.contains("choices") || event["choices"].empty()) {
    return;
  }
  this->NoteText(event["choices"][0].value("text", std::string()));
  if (!aEvent.id.empty()) {
    this->lastEventId = aEvent.id;
  }
}

void
Caller::NoteText(std::string_view aText)
{
  if (aText.empty()) {
    return;
  }
  const auto now = this->loop.GetClock().Now();
  if (this->lastText == TimePoint()) {
    this->result.firstToken = this->Passed();
  } else {
    const auto gap = std::chrono::duration_cast<Milliseconds>(now - this->lastText);
    this->result.longestGap = std::max(this->result.longestGap, gap);
  }
  this->lastText = now;
  this->text.append(aText);
}

void
Caller::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  if (this->result.outcome == Outcome::Open) {
    this->Judge(aEnd);
  }
}

void
Caller::Judge(const TransferEnd& aEnd)
{
  if (aEnd.outcome != TransferOutcome::Complete) {
    // The daemon has gone: the same key at the next one
    this->TryLater("connection: " + aEnd.message, kPause);
    return;
  }
  if (aEnd.status != 200) {
    this->JudgeError(this->bytes);
    return;
  }
  if (!this->error.empty()) {
    this->JudgeError(this->error);
    return;
  }
  if (this->request.stream && !this->sawEnd) {
    this->Finish(Outcome::Wrong, "the stream ended without [DONE] or error");
    return;
  }
  this->JudgeAnswer();
}

void
Caller::JudgeError(const std::string& aBody)
{
  const auto body = json::parse(aBody, nullptr, false);
  if (body.is_discarded() || !body.contains("error") || !body["error"].is_object()) {
    this->Finish(Outcome::Wrong, "an error that is none: " + aBody.substr(0, 200));
    return;
  }
  const auto kind = body["error"].value("kind", std::string());
  const auto ran = body["error"].value("ran", std::string());
  const auto why =
    fmt::format("{} (ran {}): {}", kind, ran, body["error"].value("message", std::string()));
  const bool inTime = this->Passed() < this->request.deadline;
  if (ran == "no") {
    if (this->retryAfter.count() > 0 && inTime && this->result.tries < kMaxTries) {
      this->TryLater(why, std::clamp(this->retryAfter, kPause, kLongestPause));
      return;
    }
    this->Finish(Outcome::RefusedNotRun, why);
    return;
  }
  if (IsRepeatable(this->request.kind)) {
    this->TryLater(why, std::clamp(this->retryAfter, kPause, kLongestPause));
    return;
  }
  // Asked again, the system may have learned more
  if (++this->unknownAnswers < kMaxUnknown && inTime) {
    this->TryLater(why, kPause);
    return;
  }
  this->Finish(Outcome::Unknown, why);
}

std::optional<std::string>
Caller::ReadAnswer()
{
  if (this->request.stream) {
    return this->text;
  }
  const auto body = json::parse(this->bytes, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return std::nullopt;
  }
  if (body.contains("result")) {
    return body["result"].get<std::string>();
  }
  if (body.contains("choices") && !body["choices"].empty()) {
    this->NoteText("x"); // first text and end come together
    return body["choices"][0].value("text", std::string());
  }
  return std::nullopt;
}

void
Caller::JudgeAnswer()
{
  const auto answer = this->ReadAnswer();
  if (!answer) {
    this->Finish(Outcome::Wrong, "no answer in " + this->bytes.substr(0, 200));
    return;
  }
  if (*answer != this->request.expected) {
    const auto same = std::mismatch(answer->begin(), answer->end(), this->request.expected.begin(),
                                    this->request.expected.end());
    this->Finish(Outcome::Wrong,
                 fmt::format("{} bytes in place of {}, the first {} right", answer->size(),
                             this->request.expected.size(), same.first - answer->begin()));
    return;
  }
  // What an earlier try showed must have been the beginning of the same answer
  if (answer->compare(0, this->earlier.size(), this->earlier) != 0) {
    this->Finish(Outcome::Wrong, "an earlier try showed another text");
    return;
  }
  this->Finish(Outcome::Whole, {});
}

void
Caller::TryLater(const std::string& aWhy, Milliseconds aWait)
{
  this->result.detail = aWhy;
  if (this->result.tries >= kMaxTries) {
    this->Finish(Outcome::Lost, "too many tries; " + aWhy);
    return;
  }
  this->loop.RunAfter(aWait, [this] { this->Try(); });
}

void
Caller::Finish(Outcome aOutcome, std::string aDetail)
{
  this->result.outcome = aOutcome;
  this->result.detail = std::move(aDetail);
  this->result.total = this->Passed();
  this->done(*this);
}

Milliseconds
Caller::Passed() const
{
  return std::chrono::duration_cast<Milliseconds>(this->loop.GetClock().Now() - this->started);
}

} // namespace lagoonward::standins
