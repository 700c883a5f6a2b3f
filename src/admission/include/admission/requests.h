// Decides which requests are admitted, which are queued and which are refused, and for what reason. Events
// come in, decisions go out: no I/O, no clock. The gate comes before the decision module: a refused request
// was never sent to any host, so that a refusal is harmless for every class.
//
// Times are microseconds of one clock. Not thread-safe. A decision costs a few map operations in the number
// of queued requests; a release costs one pass over the pairs of class and tenant that have queued requests.
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
  std::int32_t tenant = -1;  // -1: unknown
  std::size_t bytes = 0;     // of memory that it holds while it is open
  Time deadline = 0;         // when its client stops waiting
  bool retry = false;        // marked by the client as a retry
};

enum class AdmissionOutcome : std::uint8_t { Admitted, Queued, Refused };

// The decision on a request that was offered.
struct Verdict {
  AdmissionOutcome outcome = AdmissionOutcome::Admitted;
  RejectionReason reason = RejectionReason::None;  // if refused
};

// A queued request that is refused.
struct Refusal {
  RequestKey id = 0;
  RejectionReason reason = RejectionReason::None;
};

// The admission control of requests. A place is held from admission to release().
class RequestGate {
 public:
  // The share of the places of one class or one tenant.
  struct Share {
    std::size_t guaranteed = 0;  // places that are kept free for it
    std::size_t most = kNoBound;
    double weight = 1;  // the queued request whose group has the fewest open requests per weight is next
  };
  struct Limits {
    std::size_t open = kNoBound;
    std::size_t bytes = kNoBound;     // of all open requests; a single request may exceed it
    std::size_t waiting = 0;          // length of the queue
    std::vector<Share> classes = {};  // by index; all beyond the end share one default group
    std::vector<Share> tenants = {};
    std::size_t retries_least = kNoBound;    // client-marked retries that may be open or queued in any case
    double retries_part = 1;                 // or, if more, this fraction of the open first attempts
    Time advice_least = 0, advice_most = 0;  // bounds of retryAfter(); 0: no advice
  };

  // Throws std::invalid_argument if guarantees exceed a limit, a weight is not above 0 or `retries_part` is
  // below 0.
  explicit RequestGate(Limits limits);
  // Replaces the limits for new and queued requests; open requests stay open. The number of classes and
  // tenants may grow. Throws like the constructor, and then leaves the gate unchanged. The caller must call
  // next() afterwards.
  void reconfigure(Limits limits);

  // A request's head has arrived: the reason for which the complete request would be refused at present, or
  // None. Avoids reading a body in vain.
  RejectionReason checkHead(const AdmissionRequest& request) const;
  // A complete request requires a place. It may displace other requests from the queue, which are appended to
  // `refused`.
  Verdict offer(Time now, const AdmissionRequest& request, std::vector<Refusal>& refused);
  // Records that a request was refused on its head, for any reason; it counts for retryAfter().
  void noteRefused(Time now);
  // The open or queued request has been answered, or its client has disconnected. The caller must call next()
  // afterwards.
  void release(Time now, RequestKey id);
  // Appends the queued requests that are admitted now, in order, and those that can no longer be answered in
  // time.
  void next(Time now, std::vector<RequestKey>& admitted, std::vector<Refusal>& refused);
  // When next() must be called at the latest; the maximum if the queue is empty.
  Time due() const;
  // How long a client that is refused now should wait before it retries, in microseconds. Grows with the
  // ratio of recently refused to admitted requests, from `advice_least` up to `advice_most`.
  Time retryAfter(Time now);

  std::size_t open() const { return open_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::size_t retries() const { return retries_; }
  std::size_t openOfClass(std::int32_t cls) const { return groupOf(classes_, cls).open; }
  std::size_t openOfTenant(std::int32_t tenant) const { return groupOf(tenants_, tenant).open; }
  const Limits& limits() const { return limits_; }

 private:
  struct Group {  // a class or a tenant
    Share share;
    std::size_t open = 0;
  };
  struct Groups {
    std::vector<Group> all;             // the last: all unknown ones
    std::size_t unused_guarantees = 0;  // guaranteed places that are not in use
  };
  struct Open {
    std::int32_t request_class, tenant;
    std::size_t bytes;
    Time since;
    bool retry;
  };
  struct Waiting {
    AdmissionRequest request;
    Time latest_start;  // when it must be admitted to be answered in time
  };
  using ClassAndTenant = std::pair<std::int32_t, std::int32_t>;  // indices of the class and the tenant
  using Queue = std::set<std::pair<Time, RequestKey>>;  // of queued requests by time, the earliest first

  static Groups groupsOf(const std::vector<Share>& shares, std::size_t limit, const char* kind);
  static std::size_t indexOf(const Groups& groups, std::int32_t index);
  static const Group& groupOf(const Groups& groups, std::int32_t index) {
    return groups.all[indexOf(groups, index)];
  }
  static void count(Groups& groups, std::int32_t index, bool opened);
  RejectionReason groupBlockReason(const Groups& groups, std::int32_t index,
                                   RejectionReason own_reason) const;
  RejectionReason blockReason(const AdmissionRequest& request) const;
  bool overRetryBudget(const AdmissionRequest& request) const;
  ClassAndTenant classAndTenantOf(const AdmissionRequest& request) const;
  double weightOf(const ClassAndTenant& pair) const;
  void admit(Time now, const AdmissionRequest& request);
  void enqueue(const AdmissionRequest& request);
  void dequeue(RequestKey id);
  const AdmissionRequest* nextQueued() const;
  const ClassAndTenant* longestQueue() const;
  Time typicalDuration(std::int32_t cls) const { return typical_duration_[indexOf(classes_, cls)]; }
  Time expectedWait() const;
  void decay(Time now);

  Limits limits_;
  Groups classes_, tenants_;
  std::unordered_map<RequestKey, Open> open_;
  std::unordered_map<RequestKey, Waiting> waiting_;
  std::map<ClassAndTenant, Queue> queues_;
  Queue by_latest_start_;
  std::size_t bytes_ = 0, retries_ = 0, waiting_retries_ = 0;
  std::vector<Time> typical_duration_;  // by class: moving average of the time that a request is open
  double release_interval_ = 0;  // moving average of the time between two releases while requests are queued
  Time last_release_ = 0;
  double recent_admitted_ = 0, recent_refused_ = 0;  // decaying counts, see decay()
  Time decayed_at_ = 0;
};

}  // namespace client_proxy::admission
