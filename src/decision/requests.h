// One request from its arrival to its one final answer.
#pragma once

#include "picking.h"
#include "shedding.h"

namespace load_balancer::decision {

struct Serving : Asking {
  Shedding shedding{*this};

  void onRequest(const Request& q, Actions& out) {
    if (requests.find(q.id) != nullptr) return;
    if (q.request_class < 0 || static_cast<std::size_t>(q.request_class) >= shedding.classes())
      return out.push_back({.kind = ActionKind::Reject, .request = q.id});
    const RequestClass& c = settings.classes[static_cast<std::size_t>(q.request_class)];
    arrivals.note(now);
    demand += 0.1 * (in_flight + 1 - demand);
    earnRepeats();
    const auto [r, handle] = requests.open(q.id);
    r.id = q.id;
    r.timer = handle;
    r.request_class = q.request_class;
    r.key = q.key;
    r.required_zone = q.required_zone;
    r.arrived = now;
    r.deadline = now + q.time_left;
    r.give_up = r.deadline;
    // Past its aim an answer may be worth nothing: then waiting on only keeps a server busy.
    if (c.late_weight <= 0 && (c.objective_per_work <= 0 || q.expected_work > 0)) {
      const auto latency_objective =
          c.latency_objective +
          static_cast<Time>(c.objective_per_work * static_cast<double>(q.expected_work));
      r.give_up = std::min(r.deadline, now + latency_objective);
    }
    proveReturning(out);
    adjustLength(out);
    tooImpatient(r) || shedding.shed(q) ? settle(r, out) : dispatch(r, out);
    closeIfDone(r);
  }

  void dispatch(Live& r, Actions& out) {
    const Time tick = settings.tick;
    // A request that may go nowhere any more (unsafe and perhaps run, say) is answered now, not held.
    if (r.give_up - now > tick && mayRepeat(r, nullptr)) {
      if (mayAsk(r) && ask(r, out)) return;
      if (Server* s = leastReported(r)) return send(r, *s, out, true);
      if (Server* s = pick(r)) return send(r, *s, out);
      // A newly listed or recovered server may take it a moment later. Not if staff have taken out all.
      const bool hope =
          order.empty() || std::any_of(order.begin(), order.end(), [](auto* s) { return !s->banned; });
      if (hope && now - r.arrived < (r.give_up - r.arrived) / 4) {
        const Time wait = std::max(4 * tick, (r.give_up - r.arrived) / 16);
        return setTimer(out, now + wait, r.timer);
      }
    }
    settle(r, out);
  }

  void send(Live& r, Server& s, Actions& out, bool by_report = false) {
    if (!gate(r, s)) return;  // pick asked already; nothing passes without it
    const Reason why = settings.explain ? explain(r, s, by_report) : Reason::None;
    ++s.in_flight;
    ++in_flight;
    ++r.outstanding;
    recent_turn = std::max(recent_turn, s.turn);
    takeTurn(s);
    spendCold(s);
    r.attempts.push_back({&s, s.host.zone, s.host.cell, now, Run::Outstanding, by_report, s.cold_since});
    out.push_back({.kind = ActionKind::Send, .request = r.id, .server = s.host.id, .time = r.give_up - now});
    // Where an answer is on its way the work is done: to end it saves nothing, and may lose it.
    out.back().longest = r.deadline - now;
    out.back().reason = why;
  }

  // Its connection is up: may its first byte still go? What it was chosen by may have changed meanwhile.
  bool mayStart(RequestId id, std::int32_t attempt) {
    Live* const r = requests.find(id);
    Attempt* const a = outstandingOf(r, attempt);
    if (a == nullptr || !gate(*r, *a->server, a)) return false;
    Server& s = *a->server;
    if (s.cold_since == 0 || s.cold_since == a->cold_since) return true;
    if (!coldAllows(s, false)) return false;  // it has restarted since
    a->cold_since = s.cold_since;
    spendCold(s);
    return true;
  }

  // The process has to leave: what is open must be answered by then.
  void finishBy(Time last, Actions& out) {
    requests.each([&](Live& r) {
      r.deadline = std::min(r.deadline, last);
      r.give_up = std::min(r.give_up, last);
      setTimer(out, last, r.timer);
    });
  }

  void settle(Live& r, Actions& out) {
    if (r.ended) return;
    r.ended = true;
    stopAsking(r);
    if (!mayRefuse(r) || r.faulty) return out.push_back({.kind = ActionKind::Fail, .request = r.id});
    const Time stay_away =
        settings.retry_after ? std::min(settings.max_retry_after, classOf(r).latency_objective / 8) : 0;
    out.push_back({.kind = ActionKind::Reject, .request = r.id, .time = stay_away});
  }

  void onOutcome(const Outcome& o, Actions& out) {
    Live* r = requests.find(o.request);
    Attempt* const found = outstandingOf(r, o.attempt);
    if (found == nullptr) return;
    Attempt& a = *found;
    const bool never_ran = provesNotProcessed(o.result);
    a.run = never_ran ? Run::NeverRan : Run::MayHaveRun;
    r->faulty |= o.result == Result::BadRequest;
    Server& s = *a.server;
    --s.in_flight;
    --in_flight;
    --r->outstanding;
    trust(*r, a, o);
    judgePatience(*r, o.result);
    judge(s, *r, a, o, out);
    r->ended |= o.final || o.result == Result::Ok;
    if (!r->ended && !r->streaming && r->outstanding == 0) {
      const bool again = mayTryAgain(*r) && o.result != Result::BadRequest && (never_ran || spendRepeat());
      again ? dispatch(*r, out) : settle(*r, out);
    }
    closeIfDone(*r);
  }

  // What an outcome says about its server and about the load.
  void judge(Server& s, const Live& r, const Attempt& a, const Outcome& o, Actions& out) {
    const bool silent_since = s.last_answer < a.sent;
    if (o.result == Result::Ok || o.result == Result::Rejected || o.result == Result::Error ||
        o.result == Result::InvalidResponse || o.result == Result::BadRequest) {
      s.last_answer = now;
      s.unproven = false;
      answered(s, a.sent, out);
    }
    double late = 0;
    switch (o.result) {
      case Result::Ok:
        shedding.learn(s, r.request_class, o);
        readmit(s, a.sent, out);
        mend(s);
        late = shedding.lateness(classOf(r), o);
        break;
      case Result::Rejected:
        takeTurn(s);  // full: let others have a turn
        late = Shedding::kFullLate;
        break;
      case Result::Error:
        strike(s, false, 1, out);
        return;
      case Result::InvalidResponse:
      case Result::RequestIncomplete:
      case Result::Reset:  // a process that has died refuses the next connection
        strike(s, false, kBrokenEvidence, out);
        return;
      case Result::TimedOut:
        // Only silence is held against the server; late among answers, or silence of all, is load.
        takeTurn(s);
        shedding.learn(s, r.request_class, o);
        if (silent_since) silence(s, a.sent, false, out);
        // One that answers probes only is found out at once the next time.
        if (silent_since && strike(s, true, s.unproven ? 1 : kTimeoutEvidence, out)) return;
        late = shedding.lateness(classOf(r), o);  // not 1: it may have begun late in its request's time
        break;
      case Result::ConnectFailed:
        silence(s, a.sent, true, out);
        strike(s, true, 1, out, kMaxUnreachable);
        return;
      case Result::BadRequest:  // says nothing of the server: a bad client must not eject sound ones
      case Result::Cancelled:
      case Result::NotSent:
        return;
    }
    shedding.follow(late, s, out);
  }

  void onTimer(std::uint64_t timer, Actions& out) {
    Live* const r = requests.findByHandle(timer);
    if (r == nullptr || r->ended || r->streaming) return;
    proveReturning(out);
    if (r->outstanding == 0) resume(*r, out);
  }
  void resume(Live& r, Actions& out) {
    dispatch(r, out);
    closeIfDone(r);
  }

  void onResponseStarted(RequestId id, std::int32_t attempt) {
    Live* r = requests.find(id);
    Attempt* a = outstandingOf(r, attempt);
    if (a == nullptr || r->ended) return;
    r->streaming = true;
    a->server->last_answer = now;
  }

  void end(RequestId id, Actions& out) {
    Live* r = requests.find(id);
    if (r == nullptr || r->ended) return;
    r->ended = true;
    stopAsking(*r);
    // An attempt still out would only waste work; a stream is the client's own.
    if (settings.may_cancel && !r->streaming && r->outstanding > 0)
      out.push_back({.kind = ActionKind::Cancel,
                     .request = id,
                     .attempt = static_cast<std::int32_t>(r->attempts.size()) - 1});
    closeIfDone(*r);
  }

  // The attempt an event is about; null if it is unknown or has its outcome already.
  static Attempt* outstandingOf(Live* r, std::int32_t attempt) {
    if (r == nullptr || attempt < 0 || static_cast<std::size_t>(attempt) >= r->attempts.size())
      return nullptr;
    Attempt& a = r->attempts[static_cast<std::size_t>(attempt)];
    return a.run == Run::Outstanding ? &a : nullptr;
  }
  void closeIfDone(Live& r) {
    if (r.ended && r.outstanding == 0) requests.close(r.id);
  }
};

}  // namespace load_balancer::decision
