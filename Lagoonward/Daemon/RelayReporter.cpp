#include "Lagoonward/Daemon/RelayReporter.h"

#include "Lagoonward/Core/Log.h"

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

namespace lagoonward {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

const Log kLog("relay");

/// In seconds: from the response time of a plain call to the longest timeout of a caller.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets{ 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                               1,    2,     4,    8,   15 };

std::string_view
ToString(ResumptionOutcome aOutcome)
{
  switch (aOutcome) {
    case ResumptionOutcome::Continued:
      return "continued";
    case ResumptionOutcome::SoleVersion:
      return "sole_version";
    case ResumptionOutcome::VersionGone:
      return "version_gone";
    case ResumptionOutcome::UnknownOrigin:
      return "unknown_origin";
    case ResumptionOutcome::ServiceChanged:
      return "service_changed";
  }
  return "unknown";
}

} // namespace

RelayReporter::RelayReporter(const Clock& aClock)
  : clock(aClock)
  , startedAt(aClock.WallNow())
  , ended(prometheus::BuildCounter()
            .Name("lagoonward_relay_requests_total")
            .Help("Relayed requests by route and status; 0 where the caller had gone.")
            .Register(this->registry))
  , attempts(prometheus::BuildCounter()
               .Name("lagoonward_relay_attempts_total")
               .Help("Attempts at endpoints by service and outcome.")
               .Register(this->registry))
  , streamEnds(prometheus::BuildCounter()
                 .Name("lagoonward_relay_stream_ends_total")
                 .Help("Streams by what marks the end of the endpoint's body, what is known of "
                       "the last call to move them, and whether the caller got them as complete.")
                 .Register(this->registry))
  , resumptions(prometheus::BuildCounter()
                  .Name("lagoonward_relay_resumptions_total")
                  .Help("Streams that callers took up, by service and outcome.")
                  .Register(this->registry))
  , firstByte(prometheus::BuildHistogram()
                .Name("lagoonward_relay_began_seconds")
                .Help("Time from a request's arrival until an endpoint began to answer, by route.")
                .Register(this->registry))
  , slotRequests(prometheus::BuildCounter()
                   .Name("lagoonward_relay_slot_requests_total")
                   .Help("Requests of all daemons for slots of the pools that this daemon owned, "
                         "by outcome; those that were queued are granted or refused later.")
                   .Register(this->registry))
  , slotWait(prometheus::BuildHistogram()
               .Name("lagoonward_relay_slot_wait_seconds")
               .Help("Time that sent requests have waited for a slot of an endpoint, by service.")
               .Register(this->registry))
{
}

void
RelayReporter::SetBeganHandler(BeganHandler aHandler)
{
  this->onBegan = std::move(aHandler);
}

void
RelayReporter::SetSentHandler(SentHandler aHandler)
{
  this->onSent = std::move(aHandler);
}

void
RelayReporter::SetEndpointsAge(std::function<Milliseconds()> aAge)
{
  this->endpointsAge = std::move(aAge);
}

void
RelayReporter::SetGauge(const std::string& aName, const std::string& aHelp, double aValue)
{
  // Registering the same name again returns the existing family and gauge
  prometheus::BuildGauge().Name(aName).Help(aHelp).Register(this->registry).Add({}).Set(aValue);
}

void
RelayReporter::SetEndpointGauges(const RelayState& aState)
{
  auto& family = prometheus::BuildGauge()
                   .Name("lagoonward_relay_endpoints")
                   .Help("Endpoints known, by service and state.")
                   .Register(this->registry);
  for (const auto& [service, counts] : aState.endpoints) {
    family.Add({ { "service", service }, { "state", "live" } }).Set(counts.live);
    family.Add({ { "service", service }, { "state", "leaving" } }).Set(counts.leaving);
  }
  const EndpointCounts& others = aState.endpointsOfOtherServices;
  this->SetGauge("lagoonward_relay_endpoints_of_other_services",
                 "Endpoints known whose service the configuration does not name.",
                 others.live + others.leaving);
}

void
RelayReporter::SetQueueMetrics(const PoolLedgerState& aState)
{
  this->SetGauge("lagoonward_relay_queues", "Queues of pools of endpoints kept by this daemon.",
                 aState.pools);
  this->SetGauge("lagoonward_relay_queue_waiting", "Requests of all daemons that wait in them.",
                 aState.waiting);
  this->SetGauge("lagoonward_relay_queue_slots_taken", "Slots of their endpoints that are taken.",
                 aState.takenSlots);
  this->SetGauge("lagoonward_relay_queue_slots", "Slots of their endpoints.", aState.slots);
  const auto set = [this](const char* aOutcome, std::uint64_t aCount) {
    prometheus::Counter& counter = this->slotRequests.Add({ { "outcome", aOutcome } });
    counter.Increment(static_cast<double>(aCount) - counter.Value());
  };
  set("granted", aState.counts.granted);
  set("queued", aState.counts.queued);
  set("refused", aState.counts.refused);
}

std::string
RelayReporter::MetricsText(const RelayState& aState)
{
  this->SetGauge("process_start_time_seconds",
                 "Unix time of the start of this process; a change is a restart.",
                 static_cast<double>(ToUnixMilliseconds(this->startedAt)) / kMillisecondsPerSecond);
  this->SetGauge("lagoonward_relay_configuration_version", "Version in force; 0 for none.",
                 static_cast<double>(aState.configurationVersion));
  this->SetGauge("lagoonward_relay_daemons", "Daemons thought to live, this one included.",
                 aState.daemons);
  this->SetGauge("lagoonward_relay_open_requests", "Callers that wait for an answer.",
                 aState.openRequests);
  this->SetGauge("lagoonward_relay_leads", "1 while this daemon holds the lease.",
                 aState.isLeader ? 1 : 0);
  this->SetGauge("lagoonward_relay_reads_endpoints",
                 "1 while this daemon reads endpoints' records for all.",
                 aState.isEndpointReader ? 1 : 0);
  this->SetGauge("lagoonward_relay_endpoint_records_refused",
                 "Records of endpoints so far that could not be read.",
                 static_cast<double>(aState.refusedRecords));
  this->SetGauge("lagoonward_relay_endpoints_age_seconds",
                 "Age of the snapshot of the endpoints: it contains what was acknowledged before.",
                 std::chrono::duration<double>(aState.endpointsAge).count());
  this->SetGauge("lagoonward_relay_request_bytes",
                 "Memory of requests, from their first bytes until their last attempt has ended.",
                 static_cast<double>(aState.requestBytes));
  this->SetGauge("lagoonward_relay_closed_connections",
                 "Accepted connections that were closed for others, or because their request took "
                 "too long, since the start.",
                 static_cast<double>(aState.closedConnections));
  this->SetGauge("lagoonward_relay_poisoned_requests",
                 "Requests that crash endpoints and are sent to none.", aState.poisonedRequests);
  this->SetGauge("lagoonward_relay_poisoned_prompt_parts",
                 "Parts of prompts that crash endpoints; requests with them are sent to none.",
                 aState.poisonedParts);
  this->SetGauge("lagoonward_relay_limited_endpoints",
                 "Endpoints that advertise how many requests they accept from all daemons.",
                 aState.limitedEndpoints);
  this->SetGauge("lagoonward_relay_brittle_services",
                 "Services whose endpoints crash when they have to reject too many requests.",
                 aState.brittleServices);
  this->SetGauge("lagoonward_relay_leaving_by_answer",
                 "Endpoints whose answers to this daemon say that they leave.",
                 aState.leavingByAnswer);
  this->SetGauge("lagoonward_relay_backoff_endpoints",
                 "Endpoints that want no requests of this daemon for now.",
                 aState.backoffEndpoints);
  this->SetEndpointGauges(aState);
  this->SetQueueMetrics(aState.queues);
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

std::int64_t
RelayReporter::AgeOf(const RelayCall& aCall) const
{
  return std::chrono::floor<Milliseconds>(this->clock.Now() - aCall.receivedAt).count();
}

void
RelayReporter::OnAccepted(const RelayCall& aCall)
{
  kLog.Event("accepted", { { "request", aCall.id },
                           { "route", aCall.route->name },
                           { "configuration", aCall.configurationVersion },
                           { "service", aCall.service },
                           { "account", aCall.account },
                           { "resumes", aCall.resumedId },
                           { "last_event", aCall.lastEventId },
                           { "prompt_tokens", aCall.promptTokens },
                           { "output_tokens", aCall.outputTokens } });
}

void
RelayReporter::OnSent(const RelayCall& aCall, const Endpoint& aEndpoint, const SendRecord& aSend)
{
  if (this->onSent) {
    this->onSent(aCall, aSend.work);
  }
  this->attempts.Add({ { "service", aCall.service }, { "outcome", "sent" } }).Increment();
  if (aSend.slotWait) {
    this->slotWait.Add({ { "service", aCall.service } }, kLatencyBuckets)
      .Observe(std::chrono::duration<double>(*aSend.slotWait).count());
  }
  kLog.Event("sent", { { "request", aCall.id },
                       { "endpoint", aEndpoint.id },
                       { "software", aEndpoint.softwareVersion },
                       { "send", aSend.send },
                       { "own", aSend.ownInFlight },
                       { "others", aSend.peersInFlight },
                       { "notice", ToString(aSend.notice) },
                       { "slot_wait_ms", aSend.slotWait.value_or(Milliseconds(0)).count() },
                       { "endpoints_age_ms", this->endpointsAge().count() },
                       { "age_ms", this->AgeOf(aCall) } });
}

void
RelayReporter::OnResumption(const RelayCall& aCall, ResumptionOutcome aOutcome,
                            std::string_view aSoftwareVersion)
{
  this->resumptions
    .Add({ { "service", aCall.service }, { "outcome", std::string(ToString(aOutcome)) } })
    .Increment();
  kLog.Event("resumption", { { "request", aCall.id },
                             { "resumes", aCall.resumedId },
                             { "last_event", aCall.lastEventId },
                             { "outcome", ToString(aOutcome) },
                             { "service", aCall.service },
                             { "software", aSoftwareVersion },
                             { "age_ms", this->AgeOf(aCall) } });
}

void
RelayReporter::OnStarted(const RelayCall& aCall)
{
  const std::chrono::duration<double> age = this->clock.Now() - aCall.receivedAt;
  this->firstByte.Add({ { "route", aCall.route->name } }, kLatencyBuckets).Observe(age.count());
  if (this->onBegan) {
    this->onBegan(aCall);
  }
}

void
RelayReporter::OnAttemptFailed(const RelayCall& aCall, const FailedAttempt& aFailed)
{
  const bool isRejection = aFailed.cause == AttemptCause::Refused;
  this->attempts
    .Add({ { "service", aCall.service }, { "outcome", isRejection ? "rejected" : "failed" } })
    .Increment();
  const std::string parts = IsPossibleCrash(aFailed.cause)
                              ? fmt::format("{:x}", fmt::join(aCall.sharedPartKeys, " "))
                              : std::string();
  kLog.Event("attempt_failed", { { "request", aCall.id },
                                 { "print", aCall.fingerprint },
                                 { "parts", parts },
                                 { "endpoint", aFailed.endpoint },
                                 { "cause", ToString(aFailed.cause) },
                                 { "reason", aFailed.reason },
                                 { "goes_on", aFailed.willRetry },
                                 { "obstacle", aFailed.obstacle },
                                 { "status_line", aFailed.response.statusLine },
                                 { "reused", aFailed.response.onReusedConnection },
                                 { "age_ms", this->AgeOf(aCall) } });
}

void
RelayReporter::OnMoved(const RelayCall& aCall, const MoveReport& aMove)
{
  const bool isMoved = aMove.outcome == MoveKnowledge::Moved;
  this->attempts
    .Add({ { "service", aCall.service }, { "outcome", isMoved ? "moved" : "not_moved" } })
    .Increment();
  kLog.Event("move", { { "request", aCall.id },
                       { "from", aMove.source },
                       { "to", aMove.target },
                       { "moved", isMoved },
                       { "outcome", ToString(aMove.outcome) },
                       { "reason", aMove.reason },
                       { "last_event", aMove.lastEventId },
                       { "stream_ended", aMove.streamHasEnded },
                       { "body_end", ToString(aMove.bodyEnd) },
                       { "age_ms", this->AgeOf(aCall) } });
}

void
RelayReporter::OnEnded(const RelayCall& aCall, const RelayResult& aEnd)
{
  this->ended.Add({ { "route", aCall.route->name }, { "status", std::to_string(aEnd.status) } })
    .Increment();
  if (!aEnd.lastEventId.empty()) {
    this->streamEnds
      .Add({ { "body_end", std::string(ToString(aEnd.response.bodyEnd)) },
             { "move", std::string(ToString(aEnd.move)) },
             { "whole", aEnd.succeeded ? "1" : "0" } })
      .Increment();
  }
  kLog.Event("ended", { { "request", aCall.id },
                        { "status", aEnd.status },
                        { "whole", aEnd.succeeded },
                        { "sends", aEnd.sends },
                        { "endpoint", aEnd.endpoint },
                        { "reason", aEnd.reason },
                        { "status_line", aEnd.response.statusLine },
                        { "reused", aEnd.response.onReusedConnection },
                        { "body_end", ToString(aEnd.response.bodyEnd) },
                        { "last_event", aEnd.lastEventId },
                        { "move", ToString(aEnd.move) },
                        { "age_ms", this->AgeOf(aCall) } });
}

} // namespace lagoonward
