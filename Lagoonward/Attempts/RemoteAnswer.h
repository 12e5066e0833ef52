#pragma once

#include "Lagoonward/Attempts/AttemptSettings.h"
#include "Lagoonward/Attempts/RequestDirectory.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <memory>

namespace lagoonward {

/// Follows an answer that another daemon is serving: reads what is new there, again and again, into
/// the answer here. Lives on one TrafficLoop.
class RemoteAnswer final : public std::enable_shared_from_this<RemoteAnswer>
{
public:
  /// How following ended.
  enum class End
  {
    Complete, ///< The answer here has ended like the one there.
    Lost,     ///< The daemon does not answer or no longer knows the request.
    Conflict, ///< The key was used there with another body.
  };

  /// @param aOnEnd  called once, on the loop
  RemoteAnswer(TrafficLoop& aLoop, RequestDirectory& aDirectory, const AttemptSettings& aSettings,
               std::uint64_t aServer, AnswerQuery aQuery, AnswerPtr aAnswer,
               std::function<void(End)> aOnEnd);

  void Start();

private:
  void ReadOn();
  void Take(const Result<AnswerPart>& aPart);

  TrafficLoop& loop;
  RequestDirectory& directory;
  const AttemptSettings& settings;
  std::uint64_t server;
  AnswerQuery query;
  AnswerPtr answer;
  std::function<void(End)> onEnd;
};

} // namespace lagoonward
