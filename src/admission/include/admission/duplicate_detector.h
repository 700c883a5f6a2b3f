// Detects requests that must not run a second time: repeats of requests that are open, and of requests that
// may have run a short while ago, recognised by their id or their Idempotency-Key. The records can be
// transferred to the process that replaces this one, so that the decisions hold across an upgrade. Bounded in
// bytes. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace client_proxy::admission {

using Time = std::int64_t;  // microseconds, as in load_balancer/balancer.h

// What is stored of one request.
struct RequestRecord {
  std::string id, key;            // X-Correlation-Id; Idempotency-Key, empty where it has none
  bool safe = false;              // may run any number of times
  Time deduplication_window = 0;  // since `began`, while all hosts drop repeats of its key; 0: they don't
  Time began = 0;
  Time ended = 0;          // 0: still open
  bool never_ran = false;  // it ended without having run: a repeat does no harm
  bool operator==(const RequestRecord&) const = default;
};

// Stores the open and recently ended requests by id and key. Times are microseconds of one clock. Not
// thread-safe.
class DuplicateDetector {
 public:
  struct Limits {
    Time kept = 5'000'000;  // after a request's end; no client repeats later, and no window is longer
    std::size_t bytes = std::size_t{512} * 1024;  // of the ended requests; the oldest are dropped first
  };
  enum class Verdict : std::uint8_t {
    New,         // not a duplicate; it is recorded as open
    Open,        // a request with this id or key is open: two responses could not be distinguished
    MayHaveRun,  // a request with this id or key may have run, and no host is sure to drop this repeat
  };
  struct Decision {
    Verdict verdict = Verdict::New;
    // Of a new request that repeats the key of an earlier one: hosts drop it until then, and not after.
    std::optional<Time> dropped_until = {};
  };

  explicit DuplicateDetector(Limits limits) : limits_(limits) {}
  void reconfigure(Limits limits) { limits_ = limits; }

  // Checks a request that has been received completely, and records it if it is new.
  Decision offer(Time now, RequestRecord request);
  // The request has ended: no attempt of it is in flight any more. Returns the record to be sent to the other
  // process during a hand-over; its id is empty if no request with this id was open here.
  RequestRecord end(Time now, std::string_view id, bool may_have_run);

  // The record of a request that is open here; its id is empty if there is none.
  RequestRecord openRecord(std::string_view id) const;
  // All open and remembered requests, oldest first.
  std::vector<RequestRecord> snapshot(Time now) const;
  // Takes over records of another process, which may update earlier ones. A request that is open there counts
  // as open here until its end is reported, or until it could not be open any longer.
  void restore(Time now, std::span<const RequestRecord> known);

  std::size_t size() const { return entries_by_id_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    RequestRecord record;
    Time until = 0;  // when the entry expires; 0: open in this process
    std::uint64_t order = 0;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  const RequestRecord* findByKey(const std::string& key) const;
  void keep(Time now, RequestRecord record, Time until);
  void erase(const std::string& id);
  void expire(Time now);
  static std::size_t cost(const RequestRecord& record);

  Limits limits_;
  Entries entries_by_id_;
  std::unordered_map<std::string, std::vector<std::string>>
      ids_by_key_;  // ids with this key, in order of arrival
  struct Expiry {
    Time until;
    std::uint64_t order;
    std::string id;
  };
  std::deque<Expiry> expiries_;  // in the order of `until`; stale if the entry's `order` differs
  std::size_t bytes_ = 0;
  std::uint64_t next_order_ = 1;
};

}  // namespace client_proxy::admission
