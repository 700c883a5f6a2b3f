// The effects that the consensus state machine requests from its caller after an event.
#pragma once

#include <utility>

#include "consensus/messages.h"

namespace client_proxy::consensus {

/// Chosen by the caller to match the result of a publish with its request.
using PublishToken = std::uint64_t;

/// Why a publish has failed.
enum class PublishFault : std::uint8_t { NoQuorum, IdReused, Busy };
/// A publish that has failed; with NoQuorum its change may still be chosen later.
struct PublishRefused {
  PublishFault fault = PublishFault::NoQuorum;
  std::string detail;  ///< for the publisher
};
using PublishOutcome = std::variant<distribution::Published, distribution::Conflict, PublishRefused>;

/// A message to another replica.
struct Outgoing {
  Outgoing(ReplicaId receiver, Message content) : to(receiver), message(std::move(content)) {}
  ReplicaId to;
  Message message;
};
/// Requests that the caller sends the kept changes from `from` on, each as Chosen. The caller may limit how
/// many it sends.
struct SendChanges {
  ReplicaId to = 0;
  Version from = 0;
};
/// The result of the publish with this token.
struct PublishResult {
  PublishToken token = 0;
  PublishOutcome outcome;
};

/// `writes` must be on disk, as one transaction and after those of earlier outputs, before any other part of
/// this output leaves the process. Outputs are carried out in order.
struct Output {
  std::vector<Write> writes;
  std::vector<Outgoing> messages;
  std::vector<SendChanges> changes;
  std::vector<PublishResult> results;
  std::vector<Change> chosen;      ///< to be sent to subscribers, ascending
  std::vector<std::string> lines;  ///< log lines

  bool empty() const {
    return writes.empty() && messages.empty() && changes.empty() && results.empty() && chosen.empty() &&
           lines.empty();
  }
};

}  // namespace client_proxy::consensus
