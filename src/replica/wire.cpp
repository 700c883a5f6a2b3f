#include "replica/wire.h"

#include <limits>

#include "distribution/codec.h"

namespace client_proxy::replica {
namespace {

using consensus::Ballot;
using distribution::CodecError;
using distribution::JsonObject;
using nlohmann::json;

constexpr std::uint64_t kMaxReplicaId = std::numeric_limits<distribution::ReplicaId>::max();

json toJson(const Ballot& ballot) {
  return {{"round", ballot.round}, {"replica", ballot.replica}, {"run", ballot.run}};
}

Ballot ballotFromJson(const JsonObject& object) {
  return {object.number("round"),
          static_cast<distribution::ReplicaId>(object.number("replica", kMaxReplicaId)),
          object.number("run")};
}

json toJson(const std::optional<consensus::Change>& change) {
  return change ? distribution::toJson(*change) : json(nullptr);
}

std::optional<consensus::Change> optionalChange(const JsonObject& holder, const char* key) {
  if (!holder.has(key)) return std::nullopt;
  return distribution::changeFromJson(holder.object(key));
}

json toJson(const consensus::Prepare& m) {
  return {{"kind", "prepare"}, {"slot", m.slot}, {"ballot", toJson(m.ballot)}};
}
json toJson(const consensus::Promise& m) {
  return {{"kind", "promise"},
          {"slot", m.slot},
          {"ballot", toJson(m.ballot)},
          {"accepted", toJson(m.accepted)},
          {"value", toJson(m.value)}};
}
json toJson(const consensus::Accept& m) {
  return {{"kind", "accept"},
          {"slot", m.slot},
          {"ballot", toJson(m.ballot)},
          {"value", distribution::toJson(m.value)}};
}
json toJson(const consensus::Accepted& m) {
  return {{"kind", "accepted"}, {"slot", m.slot}, {"ballot", toJson(m.ballot)}};
}
json toJson(const consensus::Rejected& m) {
  return {
      {"kind", "rejected"}, {"slot", m.slot}, {"ballot", toJson(m.ballot)}, {"promised", toJson(m.promised)}};
}
json toJson(const consensus::Chosen& m) {
  return {{"kind", "chosen"}, {"change", distribution::toJson(m.change)}, {"oldest_kept", m.oldest_kept}};
}
json toJson(const consensus::Fetch& m) { return {{"kind", "fetch"}, {"from", m.from}}; }
json toJson(const consensus::Hello& m) {
  return {{"kind", "hello"},
          {"start_count", m.start_count},
          {"run", m.run},
          {"replaces", m.replaces},
          {"recovering", m.recovering},
          {"joined", m.joined},
          {"abstaining", m.abstaining},
          {"version", m.version},
          {"voted", m.voted}};
}
json toJson(const consensus::HelloReply& m) {
  return {
      {"kind", "hello_reply"}, {"run", m.run},     {"seen", replica::toJson(m.seen)}, {"joined", m.joined},
      {"version", m.version},  {"voted", m.voted}, {"vote", replica::toJson(m.vote)}};
}

consensus::Message messageFromJson(const JsonObject& object) {
  constexpr std::size_t kMaxKindBytes = 32;
  const std::string kind = object.text("kind", kMaxKindBytes);
  const auto slot = [&] { return object.number("slot"); };
  const auto ballot = [&](const char* key) { return ballotFromJson(object.object(key)); };
  if (kind == "prepare") return consensus::Prepare{slot(), ballot("ballot")};
  if (kind == "promise")
    return consensus::Promise{slot(), ballot("ballot"), ballot("accepted"), optionalChange(object, "value")};
  if (kind == "accept")
    return consensus::Accept{slot(), ballot("ballot"), distribution::changeFromJson(object.object("value"))};
  if (kind == "accepted") return consensus::Accepted{slot(), ballot("ballot")};
  if (kind == "rejected") return consensus::Rejected{slot(), ballot("ballot"), ballot("promised")};
  if (kind == "chosen")
    return consensus::Chosen{distribution::changeFromJson(object.object("change")),
                             object.number("oldest_kept")};
  if (kind == "fetch") return consensus::Fetch{object.number("from")};
  if (kind == "hello")
    return consensus::Hello{.start_count = object.number("start_count"),
                            .run = object.number("run"),
                            .replaces = object.number("replaces"),
                            .recovering = object.flag("recovering"),
                            .joined = object.flag("joined"),
                            .abstaining = object.flag("abstaining"),
                            .version = object.number("version"),
                            .voted = object.number("voted")};
  if (kind == "hello_reply")
    return consensus::HelloReply{.run = object.number("run"),
                                 .seen = recordFromJson(object.object("seen")),
                                 .joined = object.flag("joined"),
                                 .version = object.number("version"),
                                 .voted = object.number("voted"),
                                 .vote = voteFromJson(object.object("vote"))};
  throw CodecError("kind", "'" + kind + "' is not known");
}

}  // namespace

json toJson(const consensus::Vote& vote) {
  return {{"slot", vote.slot},
          {"promised", toJson(vote.promised)},
          {"accepted", toJson(vote.accepted)},
          {"value", toJson(vote.value)}};
}

consensus::Vote voteFromJson(const JsonObject& object) {
  return {.slot = object.number("slot"),
          .promised = ballotFromJson(object.object("promised")),
          .accepted = ballotFromJson(object.object("accepted")),
          .value = optionalChange(object, "value")};
}

json toJson(const consensus::PeerRecord& record) {
  return {{"start_count", record.start_count},
          {"run", record.run},
          {"version", record.version},
          {"voted", record.voted}};
}

consensus::PeerRecord recordFromJson(const JsonObject& object) {
  return {.start_count = object.number("start_count"),
          .run = object.number("run"),
          .version = object.number("version"),
          .voted = object.number("voted")};
}

std::string formatEnvelope(const Envelope& envelope) {
  json messages = json::array();
  for (const consensus::Message& message : envelope.messages)
    messages.push_back(std::visit([](const auto& one) { return toJson(one); }, message));
  return distribution::formatJson({{"from", envelope.from},
                                   {"to", envelope.to},
                                   {"wall_ms", envelope.wall_ms},
                                   {"messages", std::move(messages)}});
}

Envelope parseEnvelope(std::string_view text) {
  const json value = distribution::parseJson(text, kMaxPeerBodyBytes);
  const JsonObject object(value);
  Envelope envelope;
  envelope.from = static_cast<distribution::ReplicaId>(object.number("from", kMaxReplicaId));
  envelope.to = static_cast<distribution::ReplicaId>(object.number("to", kMaxReplicaId));
  envelope.wall_ms = object.signedNumber("wall_ms");
  for (const JsonObject& message : object.objects("messages", kMaxPeerMessages))
    envelope.messages.push_back(messageFromJson(message));
  return envelope;
}

}  // namespace client_proxy::replica
