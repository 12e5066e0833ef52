#include "StandIns/Load/Caller.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

/// Maximum number of attempts per request.
constexpr int kMaxAttempts = 60;

/// Number of attempts that must end in "unknown" before it becomes the outcome.
constexpr int kMaxUnknownAnswers = 3;

/// Delay before the next attempt if the response gives none, and the upper limit of the delay.
constexpr Milliseconds kRetryDelay{ 150 };
constexpr Milliseconds kMaxRetryDelay{ 2000 };

/// Time after the deadline at which a request without an answer counts as lost.
constexpr Milliseconds kDeadlineGrace{ 5000 };

/// Maximum size of a stream event.
constexpr std::size_t kMaxEventBytes = std::size_t{ 1 } << 20U;

bool
IsRepeatable(RequestKind aKind)
{
  return aKind != RequestKind::Submission;
}

/// The value of a `Retry-After:` header line; nullopt for other lines.
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
  // Ensures that every request completes
  this->loop.RunAfter(this->request.deadline + kDeadlineGrace, [this] {
    if (this->result.outcome == Outcome::Pending) {
      this->loop.CancelTransfer(this->transfer);
      this->Finish(Outcome::Lost, "no complete answer by the deadline; " + this->result.detail);
    }
  });
  this->StartAttempt();
}

bool
Caller::IsStreaming() const
{
  return this->result.outcome == Outcome::Pending && !this->text.empty();
}

void
Caller::StartAttempt()
{
  if (this->result.outcome != Outcome::Pending) {
    return;
  }
  ++this->result.attempts;
  this->bytes.clear();
  this->error.clear();
  this->sawDone = false;
  this->retryAfter = Milliseconds(0);
  this->reader.emplace(kMaxEventBytes);
  const auto next = this->BuildAttemptRequest();
  if (!this->request.resumes) {
    this->longestEarlierText =
      std::max(this->longestEarlierText, this->text, [](const auto& aFirst, const auto& aSecond) {
        return aFirst.size() < aSecond.size();
      });
    this->text.clear();
  }
  ++this->nextDaemon;
  this->transfer = this->loop.StartTransfer(next, *this);
}

HttpTransferRequest
Caller::BuildAttemptRequest() const
{
  HttpTransferRequest next;
  next.method = "POST";
  next.url = this->daemons[this->nextDaemon % this->daemons.size()] + this->request.path;
  next.body = this->request.body;
  next.freshConnection = true; // the load balancer distributes connections, not requests
  next.headers = { "Content-Type: application/json",
                   "Authorization: Bearer " + this->request.clientKey,
                   "Idempotency-Key: " + this->request.key,
                   "Lagoonward-Market: " + this->request.market,
                   "Lagoonward-Class: " + this->request.className,
                   fmt::format("Lagoonward-Deadline-Ms: {}", this->request.deadline.count()) };
  if (!IsRepeatable(this->request.kind)) {
    next.headers.emplace_back("Lagoonward-Idempotent: false");
  }
  if (this->request.resumes && !this->lastEventId.empty()) {
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
    this->sawDone = true;
    return;
  }
  const auto event = json::parse(aEvent.data, nullptr, false);
  if (event.is_discarded() || !event.contains("choices") || event["choices"].empty()) {
    return;
  }
  this->RecordText(event["choices"][0].value("text", std::string()));
  if (!aEvent.id.empty()) {
    this->lastEventId = aEvent.id;
  }
}

void
Caller::RecordText(std::string_view aText)
{
  if (aText.empty()) {
    return;
  }
  const auto now = this->loop.GetClock().Now();
  if (this->lastText == TimePoint()) {
    this->result.firstToken = this->Elapsed();
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
  if (this->result.outcome == Outcome::Pending) {
    this->ClassifyResult(aEnd);
  }
}

void
Caller::ClassifyResult(const TransferEnd& aEnd)
{
  if (aEnd.outcome != TransferOutcome::Complete) {
    // The connection to the daemon failed: retry with the same key at the next daemon
    this->ScheduleRetry("connection: " + aEnd.message, kRetryDelay);
    return;
  }
  if (aEnd.status != 200) {
    this->ClassifyError(this->bytes);
    return;
  }
  if (!this->error.empty()) {
    this->ClassifyError(this->error);
    return;
  }
  if (this->request.stream && !this->sawDone) {
    this->Finish(Outcome::Wrong,
                 "expected [DONE] or an error event, the stream ended without either");
    return;
  }
  this->CheckAnswer();
}

void
Caller::ClassifyError(const std::string& aBody)
{
  const auto body = json::parse(aBody, nullptr, false);
  if (body.is_discarded() || !body.contains("error") || !body["error"].is_object()) {
    this->Finish(Outcome::Wrong, "expected an error object, got: " + aBody.substr(0, 200));
    return;
  }
  const auto kind = body["error"].value("kind", std::string());
  const auto ran = body["error"].value("ran", std::string());
  const auto why =
    fmt::format("{} (ran {}): {}", kind, ran, body["error"].value("message", std::string()));
  const bool inTime = this->Elapsed() < this->request.deadline;
  if (ran == "no") {
    if (this->retryAfter.count() > 0 && inTime && this->result.attempts < kMaxAttempts) {
      this->ScheduleRetry(why, std::clamp(this->retryAfter, kRetryDelay, kMaxRetryDelay));
      return;
    }
    this->Finish(Outcome::RefusedNotRun, why);
    return;
  }
  if (IsRepeatable(this->request.kind)) {
    this->ScheduleRetry(why, std::clamp(this->retryAfter, kRetryDelay, kMaxRetryDelay));
    return;
  }
  // A later attempt may find the execution state known
  if (++this->unknownAnswers < kMaxUnknownAnswers && inTime) {
    this->ScheduleRetry(why, kRetryDelay);
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
    this->RecordText("x"); // the first text and the end arrive together
    return body["choices"][0].value("text", std::string());
  }
  return std::nullopt;
}

void
Caller::CheckAnswer()
{
  const auto answer = this->ReadAnswer();
  if (!answer) {
    this->Finish(Outcome::Wrong,
                 "expected a result or choices, got: " + this->bytes.substr(0, 200));
    return;
  }
  if (*answer != this->request.expected) {
    const auto same = std::mismatch(answer->begin(), answer->end(), this->request.expected.begin(),
                                    this->request.expected.end());
    this->Finish(Outcome::Wrong,
                 fmt::format("got {} bytes, expected {}; the first {} are correct", answer->size(),
                             this->request.expected.size(), same.first - answer->begin()));
    return;
  }
  // The partial text of an earlier attempt must be a prefix of the answer
  if (answer->compare(0, this->longestEarlierText.size(), this->longestEarlierText) != 0) {
    this->Finish(Outcome::Wrong, "an earlier attempt sent a different text");
    return;
  }
  this->Finish(Outcome::Correct, {});
}

void
Caller::ScheduleRetry(const std::string& aWhy, Milliseconds aWait)
{
  this->result.detail = aWhy;
  if (this->result.attempts >= kMaxAttempts) {
    this->Finish(Outcome::Lost, "too many attempts; " + aWhy);
    return;
  }
  this->loop.RunAfter(aWait, [this] { this->StartAttempt(); });
}

void
Caller::Finish(Outcome aOutcome, std::string aDetail)
{
  this->result.outcome = aOutcome;
  this->result.detail = std::move(aDetail);
  this->result.total = this->Elapsed();
  this->done(*this);
}

Milliseconds
Caller::Elapsed() const
{
  return std::chrono::duration_cast<Milliseconds>(this->loop.GetClock().Now() - this->started);
}

} // namespace lagoonward::standins
