#include "distribution/codec.h"

#include <utility>

#include "distribution/delta.h"
#include "distribution/digest.h"

namespace client_proxy::distribution {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRegionBytes = 200;
constexpr std::size_t kMaxFaults = 64, kMaxPeers = 64, kMaxMembers = 10'000;
constexpr std::size_t kMaxStatusBytes = std::size_t{16} << 20;  // for kMaxMembers members with a refusal each
constexpr std::uint64_t kMaxReplicaId = std::numeric_limits<ReplicaId>::max();
constexpr std::uint64_t kMaxMemberId = std::numeric_limits<MemberId>::max();

void verifyDigest(const std::string& text, const std::string& digest) {
  if (digestOf(text) != digest) throw CodecError("digest", "does not match the text");
}

// The fields that Change and ChangeNotice have in common.
template <typename T>
json headToJson(const T& change) {
  return {{"version", change.version}, {"id", change.id},
          {"author", change.author},   {"published_ms", change.published_ms},
          {"digest", change.digest},   {"previous_digest", change.previous_digest}};
}

template <typename T>
T headFromJson(const JsonObject& object) {
  T change;
  change.version = object.number("version");
  change.id = object.hexDigest("id");
  change.author = object.text("author", kMaxAuthorBytes);
  change.published_ms = object.signedNumber("published_ms");
  change.digest = object.hexDigest("digest");
  change.previous_digest = object.hexDigest("previous_digest");
  return change;
}

json toJson(const Delta& delta) {
  json splices = json::array();
  for (const Splice& splice : delta.splices)
    splices.push_back({{"offset", splice.offset}, {"remove", splice.remove}, {"insert", splice.insert}});
  return {{"base", delta.base}, {"base_digest", delta.base_digest}, {"splices", std::move(splices)}};
}

Delta deltaFromJson(const JsonObject& object) {
  Delta delta;
  delta.base = object.number("base");
  delta.base_digest = object.hexDigest("base_digest");
  for (const JsonObject& splice : object.objects("splices", kMaxSplices))
    delta.splices.push_back(
        {splice.number("offset"), splice.number("remove"), splice.text("insert", kMaxTextBytes)});
  return delta;
}

json toJson(const std::optional<Refusal>& refused) {
  if (!refused) return nullptr;
  return {{"version", refused->version}, {"digest", refused->digest}, {"error", refused->error}};
}

std::optional<Refusal> refusalFromJson(const JsonObject& parent) {
  if (!parent.has("refused")) return std::nullopt;
  const JsonObject refused = parent.object("refused");
  return Refusal{refused.number("version"), refused.hexDigest("digest"),
                 refused.text("error", kMaxErrorBytes)};
}

json toJson(const std::optional<std::int64_t>& number) { return number ? json(*number) : json(nullptr); }

std::optional<std::int64_t> optionalNumber(const JsonObject& parent, const char* key) {
  if (!parent.has(key)) return std::nullopt;
  return parent.signedNumber(key);
}

json toJson(const PeerStatus& peer) {
  return {{"replica", peer.replica},
          {"reachable", peer.reachable},
          {"heard_ms_ago", toJson(peer.heard_ms_ago)},
          {"version", peer.version},
          {"clock_ms_apart", toJson(peer.clock_ms_apart)}};
}

PeerStatus peerFromJson(const JsonObject& object) {
  PeerStatus peer;
  peer.replica = static_cast<ReplicaId>(object.number("replica", kMaxReplicaId));
  peer.reachable = object.flag("reachable");
  peer.heard_ms_ago = optionalNumber(object, "heard_ms_ago");
  peer.version = object.number("version");
  peer.clock_ms_apart = optionalNumber(object, "clock_ms_apart");
  return peer;
}

json toJson(const MemberStatus& member) {
  return {{"member", member.member},
          {"connected", member.connected},
          {"heard_ms_ago", member.heard_ms_ago},
          {"version", member.version},
          {"digest", member.digest},
          {"restart_needed", member.restart_needed},
          {"refused", toJson(member.refused)}};
}

MemberStatus memberFromJson(const JsonObject& object) {
  MemberStatus member;
  member.member = static_cast<MemberId>(object.number("member", kMaxMemberId));
  member.connected = object.flag("connected");
  member.heard_ms_ago = object.signedNumber("heard_ms_ago");
  member.version = object.number("version");
  member.digest = object.hexDigest("digest");
  member.restart_needed = object.flag("restart_needed");
  member.refused = refusalFromJson(object);
  return member;
}

std::string formatNotice(const ChangeNotice& notice) {
  json line = headToJson(notice);
  if (const auto* text = std::get_if<std::string>(&notice.content)) {
    line["text"] = *text;
  } else {
    line["delta"] = toJson(std::get<Delta>(notice.content));
  }
  return formatJson(line);
}

ChangeNotice noticeFromJson(const JsonObject& object) {
  auto notice = headFromJson<ChangeNotice>(object);
  if (object.has("delta")) {
    notice.content = deltaFromJson(object.object("delta"));
    return notice;
  }
  std::string text = object.text("text", kMaxTextBytes);
  verifyDigest(text, notice.digest);
  notice.content = std::move(text);
  return notice;
}

}  // namespace

json toJson(const Change& change) {
  json object = headToJson(change);
  object["text"] = change.text;
  return object;
}

Change changeFromJson(const JsonObject& object) {
  auto change = headFromJson<Change>(object);
  change.text = object.text("text", kMaxTextBytes);
  verifyDigest(change.text, change.digest);
  return change;
}

std::string formatChange(const Change& change) { return formatJson(toJson(change)); }

Change parseChange(std::string_view text) {
  const json value = parseJson(text, kMaxBodyBytes);
  return changeFromJson(JsonObject(value));
}

ChangeNotice noticeOf(const Change& change) {
  return {.version = change.version,
          .id = change.id,
          .author = change.author,
          .published_ms = change.published_ms,
          .digest = change.digest,
          .previous_digest = change.previous_digest,
          .content = change.text};
}

ChangeNotice noticeOf(const Change& change, const Change& base) {
  ChangeNotice notice = noticeOf(change);
  Delta delta = makeDelta(base, change.text);
  if (sizeOf(delta) < change.text.size()) notice.content = std::move(delta);
  return notice;
}

std::string formatWatchLine(const WatchLine& line) {
  if (const auto* notice = std::get_if<ChangeNotice>(&line)) return formatNotice(*notice) + "\n";
  if (const auto* quorum = std::get_if<QuorumNotice>(&line))
    return formatJson({{"replica", quorum->replica}, {"quorum", quorum->quorum}}) + "\n";
  return "\n";
}

WatchLine parseWatchLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return Heartbeat{};
  const json value = parseJson(line, kMaxBodyBytes);
  const JsonObject object(value);
  if (object.has("quorum"))
    return QuorumNotice{static_cast<ReplicaId>(object.number("replica", kMaxReplicaId)),
                        object.flag("quorum")};
  return noticeFromJson(object);
}

std::string formatAcknowledgement(const Acknowledgement& acknowledgement) {
  return formatJson({{"member", acknowledgement.member},
                     {"sequence", acknowledgement.sequence},
                     {"version", acknowledgement.version},
                     {"digest", acknowledgement.digest},
                     {"restart_needed", acknowledgement.restart_needed},
                     {"refused", toJson(acknowledgement.refused)}});
}

Acknowledgement parseAcknowledgement(std::string_view text) {
  const json value = parseJson(text, kMaxBodyBytes);
  const JsonObject object(value);
  Acknowledgement acknowledgement;
  acknowledgement.member = static_cast<MemberId>(object.number("member", kMaxMemberId));
  acknowledgement.sequence = object.number("sequence");
  acknowledgement.version = object.number("version");
  acknowledgement.digest = object.hexDigest("digest");
  acknowledgement.restart_needed = object.flag("restart_needed");
  acknowledgement.refused = refusalFromJson(object);
  return acknowledgement;
}

std::string formatPublishRequest(const PublishRequest& request) {
  return formatJson(
      {{"id", request.id}, {"author", request.author}, {"base", request.base}, {"text", request.text}});
}

PublishRequest parsePublishRequest(std::string_view text) {
  const json value = parseJson(text, kMaxBodyBytes);
  const JsonObject object(value);
  return {.id = object.hexDigest("id"),
          .author = object.text("author", kMaxAuthorBytes),
          .base = object.number("base"),
          .text = object.text("text", kMaxTextBytes)};
}

std::string formatPublished(const Published& published) {
  return formatJson({{"version", published.version}, {"digest", published.digest}});
}

Published parsePublished(std::string_view text) {
  const json value = parseJson(text, kMaxBodyBytes);
  const JsonObject object(value);
  return {.version = object.number("version"), .digest = object.hexDigest("digest")};
}

std::string formatConflict(const Conflict& conflict) {
  return formatJson({{"error", "conflict"}, {"version", conflict.version}, {"author", conflict.author}});
}

Conflict parseConflict(std::string_view text) {
  const json value = parseJson(text, kMaxBodyBytes);
  const JsonObject object(value);
  return {.version = object.number("version"), .author = object.text("author", kMaxAuthorBytes)};
}

std::string formatCallError(const CallError& error) {
  json object = {{"error", error.error}};
  if (!error.detail.empty()) object["detail"] = error.detail;
  return formatJson(object);
}

CallError parseCallError(std::string_view text) {
  const json value = parseJson(text, kMaxBodyBytes);
  const JsonObject object(value);
  CallError error{.error = object.text("error", kMaxBodyBytes), .detail = {}};
  if (object.has("detail")) error.detail = object.text("detail", kMaxBodyBytes);
  return error;
}

std::string formatStatus(const Status& status) {
  json peers = json::array(), members = json::array();
  for (const PeerStatus& peer : status.peers) peers.push_back(toJson(peer));
  for (const MemberStatus& member : status.members) members.push_back(toJson(member));
  return formatJson({{"replica", status.replica},
                     {"region", status.region},
                     {"version", status.version},
                     {"digest", status.digest},
                     {"start_count", status.start_count},
                     {"faults", status.faults},
                     {"peers", std::move(peers)},
                     {"quorum", status.quorum},
                     {"members", std::move(members)}});
}

Status parseStatus(std::string_view text) {
  const json value = parseJson(text, kMaxStatusBytes);
  const JsonObject object(value);
  Status status;
  status.replica = static_cast<ReplicaId>(object.number("replica", kMaxReplicaId));
  status.region = object.text("region", kMaxRegionBytes);
  status.version = object.number("version");
  status.digest = object.hexDigest("digest");
  status.start_count = object.number("start_count");
  status.faults = object.texts("faults", kMaxFaults, kMaxErrorBytes);
  for (const JsonObject& peer : object.objects("peers", kMaxPeers))
    status.peers.push_back(peerFromJson(peer));
  status.quorum = object.flag("quorum");
  for (const JsonObject& member : object.objects("members", kMaxMembers))
    status.members.push_back(memberFromJson(member));
  return status;
}

}  // namespace client_proxy::distribution
