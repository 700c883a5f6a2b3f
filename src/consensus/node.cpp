#include "consensus/node.h"

#include <algorithm>
#include <utility>

namespace client_proxy::consensus {

using distribution::Conflict;

Node::Node(const Rules& rules, const DurableState& state, std::uint64_t run, Time now, Output& out)
    : rules_(rules),
      random_(run),
      membership_(rules, state, run),
      acceptor_(state.vote, state.first_vote),
      history_(state.changes, rules.kept) {
  for (const ReplicaId peer : rules_.others) peers_[peer];
  acceptor_.onChosen(history_.version());
  membership_.joinWithoutPeers();
  out.writes.emplace_back(membership_.start());
  if (!membership_.fault().empty()) out.lines.push_back(membership_.fault());
  sendHello(now, out);
}

// ---- sending ----

void Node::send(Time now, ReplicaId to, Message message, Output& out) {
  if (to == rules_.self) return onMessage(now, to, message, out);
  out.messages.emplace_back(to, std::move(message));
}

void Node::sendHello(Time now, Output& out) {
  for (const ReplicaId peer : rules_.others) sendHello(peer, out);
  next_hello_ = now + (membership_.joined() ? rules_.hello_interval : rules_.hello_interval_joining);
}

void Node::sendHello(ReplicaId to, Output& out) {
  out.messages.emplace_back(to, membership_.hello(to, history_.version(), acceptor_.vote()));
}

void Node::fetch(Time now, ReplicaId from, Output& out) {
  if (now < next_fetch_) return;
  next_fetch_ = now + rules_.fetch_retry_interval;
  out.messages.emplace_back(from, Fetch{history_.version() + 1});
}

void Node::fetchFromNewestPeer(Time now, Output& out) {
  const auto newest = std::max_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
    return a.second.version < b.second.version;
  });
  if (newest != peers_.end() && behind(newest->second)) fetch(now, newest->first, out);
}

// ---- received messages ----

void Node::onMessage(Time now, ReplicaId from, const Message& message, Output& out) {
  if (from != rules_.self) {
    const auto peer = peers_.find(from);
    if (peer == peers_.end()) return;
    peer->second.last_contact = now;
  }
  std::visit([&](const auto& one) { on(now, from, one, out); }, message);
}

bool Node::canVote(Time now, ReplicaId from, Version slot, Output& out) {
  if (slot <= history_.version()) {
    out.changes.push_back({from, slot});
    return false;
  }
  if (slot > history_.version() + 1) {
    fetch(now, from, out);
    return false;
  }
  return membership_.joined();
}

void Node::respond(Time now, ReplicaId to, Acceptor::Answer answer, bool changed, Output& out) {
  if (changed) out.writes.emplace_back(SaveVote{acceptor_.vote()});
  if (auto* const promise = std::get_if<Promise>(&answer)) send(now, to, std::move(*promise), out);
  if (auto* const accepted = std::get_if<Accepted>(&answer)) send(now, to, *accepted, out);
  if (auto* const rejected = std::get_if<Rejected>(&answer)) send(now, to, *rejected, out);
}

void Node::on(Time now, ReplicaId from, const Prepare& prepare, Output& out) {
  round_ = std::max(round_, prepare.ballot.round);
  if (!canVote(now, from, prepare.slot, out)) return;
  bool changed = false;
  Acceptor::Answer answer = acceptor_.onPrepare(prepare, changed);
  respond(now, from, std::move(answer), changed, out);
}

void Node::on(Time now, ReplicaId from, const Accept& accept, Output& out) {
  round_ = std::max(round_, accept.ballot.round);
  if (!canVote(now, from, accept.slot, out)) return;
  bool changed = false;
  Acceptor::Answer answer = acceptor_.onAccept(accept, changed);
  respond(now, from, std::move(answer), changed, out);
}

void Node::on(Time now, ReplicaId from, const Promise& promise, Output& out) {
  if (proposal_ && proposal_->onPromise(from, promise)) sendProposal(now, out);
}

void Node::on(Time now, ReplicaId from, const Accepted& accepted, Output& out) {
  if (!proposal_ || !proposal_->onAccepted(from, accepted)) return;
  const Change change = proposal_->value();
  for (const ReplicaId peer : rules_.others)
    out.messages.emplace_back(peer, Chosen{change, history_.oldestKept()});
  learn(now, change, out);
}

void Node::on(Time now, ReplicaId /*from*/, const Rejected& rejected, Output& /*out*/) {
  round_ = std::max(round_, rejected.promised.round);
  if (proposal_ && proposal_->ballot() == rejected.ballot) abandonProposal(now + backOff());
}

void Node::on(Time now, ReplicaId from, const Chosen& chosen, Output& out) {
  Peer& peer = peers_[from];
  peer.version = std::max(peer.version, chosen.change.version);
  if (const ChangeHead* const known = history_.find(chosen.change.version)) {
    if (known->digest != chosen.change.digest)
      out.lines.push_back("replica " + std::to_string(from) + " has a different text for version " +
                          std::to_string(known->version) + ": consensus is violated");
    return;
  }
  if (!history_.follows(chosen.change.version, chosen.oldest_kept)) {
    if (behind(peer)) fetch(now, from, out);
    return;
  }
  learn(now, chosen.change, out);
  next_fetch_ = now;  // the fetch made progress: allow the next one immediately
}

void Node::on(Time /*now*/, ReplicaId from, const Fetch& fetch, Output& out) {
  if (fetch.from <= history_.version()) out.changes.push_back({from, fetch.from});
}

void Node::on(Time now, ReplicaId from, const Hello& hello, Output& out) {
  Membership::HelloResponse response = membership_.onHello(from, hello, history_.version(), acceptor_.vote());
  if (response.record_changed) out.writes.emplace_back(SavePeer{from, membership_.record(from)});
  if (response.reply_needed) out.messages.emplace_back(from, std::move(response.reply));
  Peer& peer = peers_[from];
  peer.version = hello.version;
  if (behind(peer)) fetch(now, from, out);
}

void Node::on(Time now, ReplicaId from, const HelloReply& reply, Output& out) {
  switch (membership_.onHelloReply(from, reply)) {
    case Membership::ReplyOutcome::Nothing:
      return endAbstention(out);
    case Membership::ReplyOutcome::RepeatHello:
      return sendHello(from, out);
    case Membership::ReplyOutcome::OldDisk:
      abandonProposal(now);
      out.lines.push_back(membership_.fault());
      break;
    case Membership::ReplyOutcome::Joined:
      acceptor_.setFirstVote(membership_.firstVote());
      endAbstention(out);
      break;
  }
  out.writes.emplace_back(membership_.start());
  sendHello(now, out);
  processPublishes(now, out);
}

bool Node::quorum(Time now) const {
  std::size_t count = 1;
  for (const auto& [id, peer] : peers_)
    count += peer.last_contact && now - *peer.last_contact <= rules_.contact_timeout ? 1 : 0;
  return membership_.joined() && count >= rules_.quorum();
}

// ---- deciding ----

void Node::endAbstention(Output& out) {
  const auto known = membership_.adopt(history_.version());
  if (!known) return;
  acceptor_.setFirstVote(membership_.firstVote());
  acceptor_.adopt(*known);
  out.writes.emplace_back(SaveVote{acceptor_.vote()});
  out.writes.emplace_back(membership_.start());
}

void Node::learn(Time now, const Change& change, Output& out) {
  history_.add(headOf(change));
  acceptor_.onChosen(change.version);
  out.writes.emplace_back(SaveChosen{change});
  endAbstention(out);
  out.chosen.push_back(change);
  next_hello_ = now;  // peers record the new version, so that they detect an older disk right away
  if (proposal_ && proposal_->slot() <= change.version) {
    abandonProposal(now);
    consecutive_rejections_ = 0;
  }
  processPublishes(now, out);
}

void Node::abandonProposal(Time next_try) {
  proposal_.reset();
  next_try_ = next_try;
}

Time Node::backOff() {
  const int doublings = std::min(consecutive_rejections_++, 10);
  const Time most = std::min(rules_.back_off * (1 << doublings), rules_.back_off_limit);
  return Time(1 + random_.below(static_cast<std::uint32_t>(most.count())));
}

void Node::publish(Time now, PublishToken token, distribution::PublishRequest request,
                   std::int64_t published_ms, Output& out) {
  if (publishes_.size() >= rules_.max_publishes) {
    out.results.push_back({token, PublishRefused{PublishFault::Busy, "too many publishes are waiting"}});
    return;
  }
  publishes_.push_back({token, std::move(request), published_ms, now});
  processPublishes(now, out);
}

void Node::processPublishes(Time now, Output& out) {
  while (!publishes_.empty()) {
    const Publish& first = publishes_.front();
    if (auto outcome = outcomeOf(first.request, history_)) {
      out.results.push_back({first.token, std::move(*outcome)});
    } else if (!rejectIfExpired(now, first, out)) {
      break;
    }
    // Messages of this proposal that are under way may still have it chosen; the NoQuorum result covers that.
    abandonProposal(next_try_);
    publishes_.pop_front();
  }
  if (publishes_.empty() || proposal_ || now < next_try_ || !mayPropose()) return;
  const Publish& first = publishes_.front();
  if (first.request.base > history_.version()) return fetchFromNewestPeer(now, out);
  propose(now, first, out);
}

bool Node::rejectIfExpired(Time now, const Publish& publish, Output& out) const {
  const Time waited = now - publish.since;
  if (publish.request.base > history_.version() && waited >= rules_.base_wait) {
    const ChangeHead* const newest = history_.newest();
    out.results.push_back({publish.token, Conflict{history_.version(), newest ? newest->author : ""}});
    return true;
  }
  if (waited < rules_.publish_timeout) return false;
  out.results.push_back({publish.token, PublishRefused{PublishFault::NoQuorum, noQuorumDetail(now)}});
  return true;
}

std::string Node::noQuorumDetail(Time now) const {
  if (!membership_.joined())
    return "this replica has not joined: it needs replies from " +
           std::to_string(rules_.requiredJoinedReplies()) + " joined replicas, or from all";
  std::size_t reachable = 1;
  for (const auto& [id, peer] : peers_)
    reachable += peer.last_contact && now - *peer.last_contact <= rules_.contact_timeout ? 1 : 0;
  std::string detail = "in contact with " + std::to_string(reachable) + " of " +
                       std::to_string(peers_.size() + 1) + " replicas, " + std::to_string(rules_.quorum()) +
                       " are required for a quorum";
  if (!acceptor_.votesIn(history_.version() + 1))
    detail += "; this replica votes only from version " + std::to_string(acceptor_.firstVote()) + " on";
  return detail + "; the change may still be chosen: retry with the same id";
}

void Node::propose(Time now, const Publish& publish, Output& out) {
  const Ballot ballot{++round_, rules_.self, membership_.run()};
  proposal_.emplace(history_.version() + 1, ballot, changeOf(publish, history_), rules_.quorum());
  sendProposal(now, out);
}

// Sends to all replicas that have not replied in this phase. If this replica alone is a quorum, the last call
// runs the next phase to its end.
void Node::sendProposal(Time now, Output& out) {
  next_send_ = now + rules_.resend_interval;
  const Message message =
      proposal_->preparing() ? Message(proposal_->prepare()) : Message(proposal_->accept());
  for (const ReplicaId peer : rules_.others) {
    if (!proposal_->hasReplied(peer)) out.messages.emplace_back(peer, message);
  }
  if (!proposal_->hasReplied(rules_.self)) send(now, rules_.self, message, out);
}

// ---- time ----

void Node::onTime(Time now, Output& out) {
  if (now >= next_hello_) sendHello(now, out);
  if (proposal_ && now >= next_send_) sendProposal(now, out);
  processPublishes(now, out);
}

Time Node::nextTime() const {
  Time next = next_hello_;
  if (proposal_) next = std::min(next, next_send_);
  if (publishes_.empty()) return next;
  const Publish& first = publishes_.front();
  next = std::min(next, first.since + rules_.publish_timeout);
  if (first.request.base > history_.version()) return std::min(next, first.since + rules_.base_wait);
  if (!proposal_ && mayPropose()) next = std::min(next, next_try_);
  return next;
}

}  // namespace client_proxy::consensus
