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
  if (recovering_)
    fault_ = "old disk: the one found at an earlier start; it is not yet known where to vote again";
}

bool Membership::joinAlone() {
  joined_ = rules_.others.empty();
  return joined_;
}

Hello Membership::hello(ReplicaId to, Version version, const Vote& vote) const {
  const auto replaces = replaces_.find(to);
  return {.start_count = start_count_,
          .run = run_,
          .replaces = replaces == replaces_.end() ? 0 : replaces->second,
          .recovering = recovering_,
          .joined = joined_,
          .abstaining = abstains(version + 1),
          .version = version,
          .voted = std::max(version, vote.slot)};
}

bool Membership::enoughAnswers() const {
  const auto joined = static_cast<std::size_t>(std::count_if(
      answers_.begin(), answers_.end(), [](const auto& answer) { return answer.second.joined; }));
  return joined >= rules_.joinedAnswers() || answers_.size() == rules_.others.size();
}

Version Membership::highestVoted() const {
  Version highest = 0;
  for (const auto& [from, answer] : answers_) highest = std::max(highest, answer.voted);
  return highest;
}

bool Membership::contradicts(const PeerRecord& seen) const {
  return runs_.count(seen.run) == 0 || seen.version > disk_version_ || seen.voted > disk_voted_;
}

Membership::Verdict Membership::onHelloReply(ReplicaId from, const HelloReply& reply) {
  if (reply.run != run_) return Verdict::Nothing;
  if (reply.seen.run == run_) {
    answers_[from] = reply;
    return join();
  }
  replaces_[from] = reply.seen.run;
  if (recovering_ || !contradicts(reply.seen)) return Verdict::AskAgain;
  recover(from, reply.seen);
  return Verdict::OldDisk;
}

Membership::Verdict Membership::join() {
  if (joined_ || !enoughAnswers()) return Verdict::Nothing;
  // What it may have forgotten lies at most one slot behind a slot in which one of these has voted.
  if (recovering_) first_vote_ = std::max(first_vote_, highestVoted() + 2);
  recovering_ = false;
  joined_ = true;
  return Verdict::Joined;
}

std::optional<Vote> Membership::adopt(Version version) {
  if (!abstains(version + 1) || answers_.size() < rules_.others.size()) return std::nullopt;
  Version newest = 0;
  for (const auto& [from, answer] : answers_) newest = std::max(newest, answer.version);
  if (version < newest) return std::nullopt;
  Vote known{.slot = version + 1, .promised = {}, .accepted = {}, .value = {}};
  for (const auto& [from, answer] : answers_) {
    if (answer.vote.slot != known.slot) continue;
    known.promised = std::max(known.promised, answer.vote.promised);
    if (answer.vote.accepted <= known.accepted) continue;
    known.accepted = answer.vote.accepted;
    known.value = answer.vote.value;
  }
  first_vote_ = known.slot;
  return known;
}

void Membership::recover(ReplicaId from, const PeerRecord& seen) {
  fault_ = "old disk: replica " + std::to_string(from) + " has seen start count " +
           std::to_string(seen.start_count) + " and version " + std::to_string(seen.version) +
           " of this replica, its disk had start count " + std::to_string(start_count_ - 1);
  start_count_ = std::max(start_count_, seen.start_count) + 1;
  recovering_ = true;
  joined_ = false;
  answers_.clear();
}

Membership::Judged Membership::onHello(ReplicaId from, const Hello& hello, Version version,
                                       const Vote& vote) {
  PeerRecord& record = peers_[from];
  PeerRecord claimed{hello.start_count, hello.run, hello.version, hello.voted};
  Judged judged;
  if (hello.run == record.run) {
    claimed.version = std::max(claimed.version, record.version);
    claimed.voted = std::max(claimed.voted, record.voted);
    judged.recorded = claimed != record;
  } else {
    judged.recorded = record.run == 0 || hello.replaces == record.run;
  }
  if (judged.recorded) record = claimed;
  judged.reply = {.run = hello.run,
                  .seen = record,
                  .joined = joined_,
                  .version = version,
                  .voted = std::max({version, vote.slot, first_vote_ - 1}),
                  .vote = {}};
  if (hello.recovering || hello.abstaining) judged.reply.vote = vote;
  judged.wanted = !hello.joined || hello.abstaining || hello.run != record.run;
  return judged;
}

}  // namespace client_proxy::consensus
