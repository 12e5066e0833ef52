#include "Lagoonward/Relay/AttemptResult.h"

namespace lagoonward {

std::string_view
ToString(AttemptCause aCause)
{
  switch (aCause) {
    case AttemptCause::None:
      return "none";
    case AttemptCause::NoConnection:
      return "no_connection";
    case AttemptCause::Withheld:
      return "withheld";
    case AttemptCause::Refused:
      return "refused";
    case AttemptCause::Failed:
      return "failed";
    case AttemptCause::InvalidResponse:
      return "unusable";
    case AttemptCause::ConnectionLost:
      return "connection_lost";
    case AttemptCause::Restarted:
      return "restarted";
    case AttemptCause::TimedOut:
      return "silent";
  }
  return "none";
}

bool
IsPossibleCrash(AttemptCause aCause)
{
  return aCause == AttemptCause::ConnectionLost;
}

bool
IsProvenNotRun(const AttemptResult& aEnd)
{
  return aEnd.outcome == AttemptOutcome::NotSent || aEnd.outcome == AttemptOutcome::NotRun;
}

} // namespace lagoonward
