#include "consensus/membership.h"

#include <algorithm>

namespace client_proxy::consensus {

Membership::Membership(const Rules& rules, const DurableState& state, std::uint64_t run)
    : rules_(rules),
      start_count_(state.start_count + 1),
      run_(run),
      runs_(state.runs),
      disk_version_(state.version()),
      disk_voted_(std::max(state.version(), state.vote.slot)),
      recovering_(state.recovering),
      first_vote_(state.first_vote),
      peers_(state.peers) {
  if (recovering_) fault_ = "old disk: found at an earlier start; the first slot to vote in is not known yet";
}

bool Membership::joinWithoutPeers() {
  joined_ = rules_.others.empty();
  return joined_;
}

Hello Membership::hello(ReplicaId to, Version version, const Vote& vote) const {
  const auto replaces = replaced_runs_.find(to);
  return {.start_count = start_count_,
          .run = run_,
          .replaces = replaces == replaced_runs_.end() ? 0 : replaces->second,
          .recovering = recovering_,
          .joined = joined_,
          .abstaining = abstains(version + 1),
          .version = version,
          .voted = std::max(version, vote.slot)};
}

bool Membership::enoughReplies() const {
  const auto joined = static_cast<std::size_t>(
      std::count_if(replies_.begin(), replies_.end(), [](const auto& reply) { return reply.second.joined; }));
  return joined >= rules_.requiredJoinedReplies() || replies_.size() == rules_.others.size();
}

Version Membership::highestVoted() const {
  Version highest = 0;
  for (const auto& [from, reply] : replies_) highest = std::max(highest, reply.voted);
  return highest;
}

bool Membership::contradicts(const PeerRecord& seen) const {
  return runs_.count(seen.run) == 0 || seen.version > disk_version_ || seen.voted > disk_voted_;
}

Membership::ReplyOutcome Membership::onHelloReply(ReplicaId from, const HelloReply& reply) {
  if (reply.run != run_) return ReplyOutcome::Nothing;
  if (reply.seen.run == run_) {
    replies_[from] = reply;
    return join();
  }
  replaced_runs_[from] = reply.seen.run;
  if (recovering_ || !contradicts(reply.seen)) return ReplyOutcome::RepeatHello;
  recover(from, reply.seen);
  return ReplyOutcome::OldDisk;
}

Membership::ReplyOutcome Membership::join() {
  if (joined_ || !enoughReplies()) return ReplyOutcome::Nothing;
  // A vote that this replica has lost is at most one slot after a slot in which one of these peers has voted.
  if (recovering_) first_vote_ = std::max(first_vote_, highestVoted() + 2);
  recovering_ = false;
  joined_ = true;
  return ReplyOutcome::Joined;
}

std::optional<Vote> Membership::adopt(Version version) {
  if (!abstains(version + 1) || replies_.size() < rules_.others.size()) return std::nullopt;
  Version newest = 0;
  for (const auto& [from, reply] : replies_) newest = std::max(newest, reply.version);
  if (version < newest) return std::nullopt;
  Vote known{.slot = version + 1, .promised = {}, .accepted = {}, .value = {}};
  for (const auto& [from, reply] : replies_) {
    if (reply.vote.slot != known.slot) continue;
    known.promised = std::max(known.promised, reply.vote.promised);
    if (reply.vote.accepted <= known.accepted) continue;
    known.accepted = reply.vote.accepted;
    known.value = reply.vote.value;
  }
  first_vote_ = known.slot;
  return known;
}

void Membership::recover(ReplicaId from, const PeerRecord& seen) {
  fault_ = "old disk: replica " + std::to_string(from) + " has recorded start count " +
           std::to_string(seen.start_count) + " and version " + std::to_string(seen.version) +
           " of this replica, but its disk had start count " + std::to_string(start_count_ - 1);
  start_count_ = std::max(start_count_, seen.start_count) + 1;
  recovering_ = true;
  joined_ = false;
  replies_.clear();
}

Membership::HelloResponse Membership::onHello(ReplicaId from, const Hello& hello, Version version,
                                              const Vote& vote) {
  PeerRecord& record = peers_[from];
  PeerRecord reported{hello.start_count, hello.run, hello.version, hello.voted};
  HelloResponse response;
  if (hello.run == record.run) {
    reported.version = std::max(reported.version, record.version);
    reported.voted = std::max(reported.voted, record.voted);
    response.record_changed = reported != record;
  } else {
    response.record_changed = record.run == 0 || hello.replaces == record.run;
  }
  if (response.record_changed) record = reported;
  response.reply = {.run = hello.run,
                    .seen = record,
                    .joined = joined_,
                    .version = version,
                    .voted = std::max({version, vote.slot, first_vote_ - 1}),
                    .vote = {}};
  if (hello.recovering || hello.abstaining) response.reply.vote = vote;
  response.reply_needed = !hello.joined || hello.abstaining || hello.run != record.run;
  return response;
}

}  // namespace client_proxy::consensus
