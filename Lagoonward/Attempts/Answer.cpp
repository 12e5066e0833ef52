#include "Lagoonward/Attempts/Answer.h"

#include <algorithm>
#include <cassert>

namespace lagoonward {

Answer::Answer(std::string aRequestId, std::string aModel, std::int64_t aCreated)
  : requestId(std::move(aRequestId))
  , model(std::move(aModel))
  , created(aCreated)
{
}

void
Answer::Append(std::string_view aToken)
{
  const std::scoped_lock lock(this->mutex);
  assert(!this->ended);
  this->text.append(aToken);
  this->tokenEnds.push_back(static_cast<std::uint32_t>(this->text.size()));
}

void
Answer::Publish()
{
  const std::scoped_lock lock(this->mutex);
  this->NotifyLocked();
}

void
Answer::Finish(std::string aFinishReason)
{
  const std::scoped_lock lock(this->mutex);
  assert(!this->ended);
  this->ended = true;
  this->finishReason = std::move(aFinishReason);
  this->NotifyLocked();
}

void
Answer::FinishService(ServiceReply aReply)
{
  const std::scoped_lock lock(this->mutex);
  assert(!this->ended);
  this->ended = true;
  this->reply = std::move(aReply);
  this->NotifyLocked();
}

void
Answer::Fail(const Error& aError)
{
  const std::scoped_lock lock(this->mutex);
  assert(!this->ended);
  this->ended = true;
  this->failure = aError;
  this->NotifyLocked();
}

void
Answer::Subscribe(std::shared_ptr<AnswerSubscriber> aSubscriber)
{
  const std::scoped_lock lock(this->mutex);
  aSubscriber->OnChanged(*this);
  if (!this->ended) {
    this->subscribers.push_back(std::move(aSubscriber));
  }
}

void
Answer::Unsubscribe(const AnswerSubscriber& aSubscriber)
{
  const std::scoped_lock lock(this->mutex);
  std::erase_if(this->subscribers,
                [&](const auto& aOther) { return aOther.get() == &aSubscriber; });
}

std::size_t
Answer::RemoveDisconnectedSubscribers()
{
  const std::scoped_lock lock(this->mutex);
  std::erase_if(this->subscribers, [](const auto& aOther) { return aOther->IsDisconnected(); });
  return this->subscribers.size();
}

bool
Answer::HasEnded() const
{
  const std::scoped_lock lock(this->mutex);
  return this->ended;
}

std::size_t
Answer::ByteSize() const
{
  const std::scoped_lock lock(this->mutex);
  return sizeof(Answer) + this->text.capacity() + this->reply.body.capacity() +
         this->tokenEnds.capacity() * sizeof(std::uint32_t);
}

std::string_view
Answer::Token(std::size_t aIndex) const
{
  const std::size_t begin = aIndex == 0 ? 0 : this->tokenEnds[aIndex - 1];
  return std::string_view(this->text).substr(begin, this->tokenEnds[aIndex] - begin);
}

void
Answer::NotifyLocked()
{
  for (const auto& subscriber : this->subscribers) {
    subscriber->OnChanged(*this);
  }
  if (this->ended) {
    this->subscribers.clear();
  }
}

} // namespace lagoonward
