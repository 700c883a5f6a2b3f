// The JSON form of what replicas say to each other, the body of POST /v1/replica.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "consensus/messages.h"
#include "distribution/json_object.h"

namespace client_proxy::replica {

/// The longest body; a sender stays below half of it.
constexpr std::size_t kMaxPeerBodyBytes = std::size_t{8} << 20;
/// The most messages in one body.
constexpr std::size_t kMaxPeerMessages = 64;

struct Envelope {
  distribution::ReplicaId from = 0;
  distribution::ReplicaId to = 0;
  std::int64_t wall_ms = 0;  ///< the sender's wall clock; a difference is named, nothing is decided by it
  std::vector<consensus::Message> messages;
};

/// Throws distribution::CodecError where a string is not UTF-8.
std::string formatEnvelope(const Envelope& envelope);
/// Throws distribution::CodecError, which names the key.
Envelope parseEnvelope(std::string_view text);

/// A vote as it is kept on disk and sent.
nlohmann::json toJson(const consensus::Vote& vote);
consensus::Vote voteFromJson(const distribution::JsonObject& object);
nlohmann::json toJson(const consensus::PeerRecord& record);
consensus::PeerRecord recordFromJson(const distribution::JsonObject& object);

}  // namespace client_proxy::replica
