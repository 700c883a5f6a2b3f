// What a replica wants done after an event.
#pragma once

#include <utility>

#include "consensus/messages.h"

namespace client_proxy::consensus {

/// The caller's name for one publish.
using PublishToken = std::uint64_t;

enum class PublishFault : std::uint8_t { NoQuorum, IdReused, Busy };
struct PublishRefused {
  PublishFault fault = PublishFault::NoQuorum;
  std::string detail;
};
using PublishOutcome = std::variant<distribution::Published, distribution::Conflict, PublishRefused>;

struct Outgoing {
  Outgoing(ReplicaId receiver, Message content) : to(receiver), message(std::move(content)) {}
  ReplicaId to;
  Message message;
};
/// Asks the caller to send kept changes from this one on, each as Chosen, as many as it sees fit.
struct SendChanges {
  ReplicaId to = 0;
  Version from = 0;
};
struct PublishResult {
  PublishToken token = 0;
  PublishOutcome outcome;
};

/// All of `writes` have to be on disk, as one transaction and after those of earlier outputs, before any
/// other part of this output leaves the process. Outputs are carried out in their order.
struct Output {
  std::vector<Write> writes;
  std::vector<Outgoing> messages;
  std::vector<SendChanges> changes;
  std::vector<PublishResult> results;
  std::vector<Change> chosen;      ///< to be told to subscribers, ascending
  std::vector<std::string> lines;  ///< for the log

  bool empty() const {
    return writes.empty() && messages.empty() && changes.empty() && results.empty() && chosen.empty() &&
           lines.empty();
  }
};

}  // namespace client_proxy::consensus
