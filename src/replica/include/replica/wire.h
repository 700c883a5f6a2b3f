// JSON encoding of the messages between replicas: the body of POST /v1/replica.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "consensus/messages.h"
#include "distribution/json_object.h"

namespace client_proxy::replica {

/// The maximum body size in bytes; a sender stays below half of it.
constexpr std::size_t kMaxPeerBodyBytes = std::size_t{8} << 20;
/// The maximum number of messages in one body.
constexpr std::size_t kMaxPeerMessages = 64;

struct Envelope {
  distribution::ReplicaId from = 0;
  distribution::ReplicaId to = 0;
  std::int64_t wall_ms = 0;  ///< the sender's wall clock; a difference is reported but affects no decision
  std::vector<consensus::Message> messages;
};

/// Throws distribution::CodecError if a string is not UTF-8.
std::string formatEnvelope(const Envelope& envelope);
/// Throws distribution::CodecError that names the invalid key.
Envelope parseEnvelope(std::string_view text);

/// Votes and peer records have the same encoding on disk and in messages.
nlohmann::json toJson(const consensus::Vote& vote);
consensus::Vote voteFromJson(const distribution::JsonObject& object);
nlohmann::json toJson(const consensus::PeerRecord& record);
consensus::PeerRecord recordFromJson(const distribution::JsonObject& object);

}  // namespace client_proxy::replica
