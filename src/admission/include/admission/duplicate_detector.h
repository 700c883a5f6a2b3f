// Which requests must not run a second time: those that are open, and those that may have run a short while
// ago. One id or one Idempotency-Key, one verdict, also across processes: what is known here can be told to
// the process that takes this one's place. Bounded in bytes. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace client_proxy::admission {

using Time = std::int64_t;  // microseconds, as in load_balancer/balancer.h

// What is remembered of one request.
struct RequestRecord {
  std::string id, key;  // X-Correlation-Id; Idempotency-Key, empty where it has none
  bool safe = false;    // it may run any number of times
  Time deduplication_window =
      0;  // of a keyed one whose repeats every host drops: for so long after `began`; 0: not so
  Time began = 0;
  Time ended = 0;          // 0: it is open
  bool never_ran = false;  // it has ended so: whoever repeats it does no harm
  bool operator==(const RequestRecord&) const = default;
};

class DuplicateDetector {
 public:
  struct Limits {
    Time kept = 5'000'000;  // after its end: no client repeats later, and no window is longer
    std::size_t bytes = std::size_t{512} * 1024;  // of all that has ended; the oldest is forgotten first
  };
  enum class Verdict : std::uint8_t {
    New,         // it is open from now on
    Open,        // one of this id, or of this key, is open: two answers could not be told apart
    MayHaveRun,  // one of this id, or of this key, may have run, and nobody would drop this one
  };

  explicit DuplicateDetector(Limits limits) : limits_(limits) {}
  void reconfigure(Limits limits) { limits_ = limits; }

  // A request has come whole.
  Verdict offer(Time now, RequestRecord request);
  // Nothing of it is in flight any more. What there is to tell the other process; its id is empty where
  // nothing of this id was open here.
  RequestRecord end(Time now, std::string_view id, bool may_have_run);

  // All that is open or remembered, the oldest first.
  std::vector<RequestRecord> snapshot(Time now) const;
  // What another process knows, or knows better by now: what is open there counts as open here until it is
  // told to have ended, or could not be open any longer.
  void restore(Time now, std::span<const RequestRecord> known);

  std::size_t size() const { return all_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    RequestRecord tried;
    Time until = 0;  // when it is forgotten; 0: it is open here
    std::uint64_t order = 0;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  const RequestRecord* byKey(const std::string& key) const;
  void keep(Time now, RequestRecord tried, Time until);
  void forget(const std::string& id);
  void expire(Time now);
  static std::size_t cost(const RequestRecord& t);

  Limits limits_;
  Entries all_;  // by id
  std::unordered_map<std::string, std::vector<std::string>>
      of_key_;  // ids that have this key, the first first
  struct Due {
    Time until;
    std::uint64_t order;
    std::string id;
  };
  std::deque<Due> due_;  // in the order of `until`; an entry that has moved on has another order by now
  std::size_t bytes_ = 0;
  std::uint64_t next_order_ = 1;
};

}  // namespace client_proxy::admission
