#pragma once

#include "Lagoonward/Relay/RelayCall.h"

#include <string_view>

namespace lagoonward {

/// Looks for the head of a second response within the content of a response. An endpoint may break off a response and send
/// another one on the same connection. The bytes of the second then take the place of the missing ones: those of a body
/// with a length, of a chunk, or of a body that ends with its connection.
/// Content about HTTP is no sign of it: only header lines count that name a request as the endpoint's own do.
class EmbeddedHeadFinder
{
public:
  /// Both references must outlive the finder.
  EmbeddedHeadFinder(const AnyEndpointDialect& aDialect, const RelayCall& aCall);

  /// Whether the content holds a status line, anywhere in a line, and header lines after it that name this request.
  [[nodiscard]] bool IsInBody(std::string_view aBody) const;

  /// Whether an event of a server-sent event stream has lines that are no fields of events, but header lines that name a
  /// request or carry the endpoint's mark. The status line may be lost, as in the size line of a chunk.
  [[nodiscard]] bool IsInEvent(std::string_view aEvent) const;

private:
  [[nodiscard]] bool StartsWithHeadOfThisRequest(std::string_view aText) const;

  const AnyEndpointDialect& dialect;
  const RelayCall& call;
};

} // namespace lagoonward
