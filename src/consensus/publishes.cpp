#include "consensus/publishes.h"

#include "distribution/digest.h"

namespace client_proxy::consensus {

using distribution::Conflict;
using distribution::Published;

std::optional<PublishOutcome> outcomeOf(const distribution::PublishRequest& request, const History& history) {
  if (const ChangeHead* const head = history.findId(request.id)) {
    if (head->digest == distribution::digestOf(request.text)) return Published{head->version, head->digest};
    return PublishRefused{PublishFault::IdReused, "the id was already used for version " +
                                                      std::to_string(head->version) +
                                                      ", which has a different text"};
  }
  if (request.base < history.version()) return Conflict{history.version(), history.newest()->author};
  return std::nullopt;
}

Change changeOf(const Publish& publish, const History& history) {
  return {.version = history.version() + 1,
          .id = publish.request.id,
          .author = publish.request.author,
          .published_ms = publish.published_ms,
          .text = publish.request.text,
          .digest = distribution::digestOf(publish.request.text),
          .previous_digest = history.digest()};
}

}  // namespace client_proxy::consensus
