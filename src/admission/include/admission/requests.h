// Which requests are let in, which wait for a place, which are turned away and why. Events in, verdicts out:
// no I/O, no clock. It stands before the decision module: what it turns away was never sent anywhere, so that
// a refusal is harmless for every class.
//
// Times are microseconds of one clock. Not thread-safe. A verdict costs a few map operations in the number of
// requests that wait; a released place, one pass over the pairs of class and tenant that wait.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/rejection_reason.h"

namespace client_proxy::admission {

using RequestKey = std::uint64_t;  // chosen by the embedder, never used twice
constexpr std::size_t kNoBound = std::numeric_limits<std::size_t>::max();

struct AdmissionRequest {
  RequestKey id = 0;
  std::int32_t request_class = 0;
  std::int32_t tenant = -1;  // -1: not known
  std::size_t bytes = 0;     // that it holds while it is open
  Time deadline = 0;         // when its client gives up
  bool retry = false;        // the client marked it as its own repeat
};

enum class AdmissionOutcome : std::uint8_t { Admitted, Queued, Refused };

struct Verdict {
  AdmissionOutcome outcome = AdmissionOutcome::Admitted;
  RejectionReason reason = RejectionReason::None;  // where refused
};

struct Refusal {
  RequestKey id = 0;
  RejectionReason reason = RejectionReason::None;
};

class RequestGate {
 public:
  // What one class or one tenant may have of the places.
  struct Share {
    std::size_t guaranteed = 0;  // kept free for it
    std::size_t most = kNoBound;
    double weight = 1;  // of those that wait, the one with the fewest open for its weight is next
  };
  struct Limits {
    std::size_t open = kNoBound;
    std::size_t bytes = kNoBound;  // of all open requests; a single one may exceed it
    std::size_t waiting = 0;
    std::vector<Share> classes = {};  // by index; those beyond the end share the default
    std::vector<Share> tenants = {};
    std::size_t retries_least = kNoBound;    // client-marked retries that may be open or wait in any case
    double retries_part = 1;                 // and as a part of the open first tries
    Time advice_least = 0, advice_most = 0;  // what a refused client is told to wait; 0: nothing
  };

  // Throws std::invalid_argument if guarantees exceed the bound or a weight is not above 0.
  explicit RequestGate(Limits limits);
  // The bounds are others from now on: for what comes, and for what waits; what is open stays open. Classes
  // and tenants may become more. Throws like the constructor, and then nothing has changed. Then next() is
  // due.
  void reconfigure(Limits limits);

  // A request's head has come: the cause for which it would be refused if it were whole, or none. Spares
  // reading a body for nothing.
  RejectionReason checkHead(const AdmissionRequest& ask) const;
  // A whole request asks for a place. To make room in the queue it may displace others, appended to
  // `refused`.
  Verdict offer(Time now, const AdmissionRequest& ask, std::vector<Refusal>& refused);
  // A request was refused by its head, for whatever cause: it counts for advice().
  void noteRefused(Time now);
  // The request has its answer, or its client has gone, open or waiting. Then next() is due.
  void release(Time now, RequestKey id);
  // Who of those that wait is let in now, in order, and who can't be answered in time any more.
  void next(Time now, std::vector<RequestKey>& admitted, std::vector<Refusal>& refused);
  // When next() is to be called at the latest; the largest time if nobody waits.
  Time due() const;
  // How long a client that is refused now should stay away: longer, the more are refused for each let in.
  Time retryAfter(Time now);

  std::size_t open() const { return open_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::size_t retries() const { return retries_; }
  std::size_t openOfClass(std::int32_t cls) const { return part(classes_, cls).open; }
  std::size_t openOfTenant(std::int32_t tenant) const { return part(tenants_, tenant).open; }
  const Limits& limits() const { return limits_; }

 private:
  struct Part {  // a class or a tenant
    Share share;
    std::size_t open = 0;
  };
  struct Parts {
    std::vector<Part> all;  // the last: whoever is not known
    std::size_t unmet = 0;  // places that are guaranteed and not used
  };
  struct Open {
    std::int32_t request_class, tenant;
    std::size_t bytes;
    Time since;
    bool retry;
  };
  struct Waiting {
    AdmissionRequest ask;
    Time latest;  // when it must have begun
  };
  using Pair = std::pair<std::int32_t, std::int32_t>;  // class and tenant
  using Line = std::set<std::pair<Time, RequestKey>>;  // who waits, by deadline

  static Parts partsOf(const std::vector<Share>& shares, std::size_t places, const char* what);
  static std::size_t place(const Parts& parts, std::int32_t index);
  static const Part& part(const Parts& parts, std::int32_t index) { return parts.all[place(parts, index)]; }
  static void count(Parts& parts, std::int32_t index, bool in);
  RejectionReason blockedBy(const Parts& parts, std::int32_t index, RejectionReason own) const;
  RejectionReason blocked(const AdmissionRequest& ask) const;
  bool overRetries(const AdmissionRequest& ask) const;
  Pair pairOf(const AdmissionRequest& ask) const;
  double weightOf(const Pair& pair) const;
  void admit(Time now, const AdmissionRequest& ask);
  void enqueue(const AdmissionRequest& ask);
  void leaveLine(RequestKey id);
  const AdmissionRequest* pickNext() const;
  const Pair* longestLine() const;
  Time usual(std::int32_t cls) const { return usual_[place(classes_, cls)]; }
  Time expectedWait() const;
  void fade(Time now);

  Limits limits_;
  Parts classes_, tenants_;
  std::unordered_map<RequestKey, Open> open_;
  std::unordered_map<RequestKey, Waiting> waiting_;
  std::map<Pair, Line> lines_;
  Line by_latest_;
  std::size_t bytes_ = 0, retries_ = 0, waiting_retries_ = 0;
  std::vector<Time> usual_;  // by class: how long one is open, averaged
  double gap_ = 0;           // between two released places while others wait, averaged
  Time released_ = 0;
  double let_in_ = 0, turned_away_ = 0;  // of late
  Time faded_ = 0;
};

}  // namespace client_proxy::admission
