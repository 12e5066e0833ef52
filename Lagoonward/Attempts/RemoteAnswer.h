#pragma once

#include "Lagoonward/Attempts/AttemptSettings.h"
#include "Lagoonward/Attempts/RequestDirectory.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <functional>
#include <memory>

namespace lagoonward {

/// Copies an answer that another daemon serves: reads new tokens there at an interval and appends them to the local
/// answer. Used on one TrafficLoop only; keeps itself alive until the end.
class RemoteAnswer final : public std::enable_shared_from_this<RemoteAnswer>
{
public:
  /// How copying ended.
  enum class End
  {
    Complete, ///< The local answer has ended in the same way as the remote one.
    Lost,     ///< The daemon did not respond or no longer knows the request.
    Conflict, ///< The key was used there with a different body.
  };

  /// @param aOnEnd  called once, on the loop
  RemoteAnswer(TrafficLoop& aLoop, RequestDirectory& aDirectory, const AttemptSettings& aSettings,
               std::uint64_t aServer, AnswerQuery aQuery, AnswerPtr aAnswer,
               std::function<void(End)> aOnEnd);

  void Start();

private:
  void ReadNext();
  void HandlePart(const Result<AnswerPart>& aPart);

  TrafficLoop& loop;
  RequestDirectory& directory;
  const AttemptSettings& settings;
  std::uint64_t server;
  AnswerQuery query;
  AnswerPtr answer;
  std::function<void(End)> onEnd;
};

} // namespace lagoonward
