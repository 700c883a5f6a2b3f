// A bounded, stratified sample of recent requests. Each pair of request class and tenant is sampled
// separately, so that rare pairs are represented, and each entry has a weight: the number of requests that it
// stands for. Bodies are not recorded, and idempotency keys only as hashes. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "random/random.h"

namespace client_proxy::traffic_sample {

using Time = std::int64_t;  // microseconds, of any steady clock
enum class Idempotency : std::uint8_t { Idempotent, IdempotentWithKey, NonIdempotent };
enum class Outcome : std::uint8_t { Served, Refused, Failed };

// Interns names and paths, so that entries of a sample refer to them by number.
class NameTable {
 public:
  static constexpr std::uint16_t kOther = 0;      // the number of every name that no longer fits
  static constexpr std::size_t kMaxNames = 4096;  // names, kOther included
  NameTable() : names_{""} {}
  // The name's number; a new name is added until kMaxNames is reached.
  std::uint16_t numberOf(std::string_view name);
  const std::string& at(std::uint16_t number) const { return names_[number]; }
  std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::vector<std::uint16_t> slots_;  // hash table of numbers, open addressing; kOther: free
};

// One recorded request.
struct SampledRequest {
  Time at = 0;
  std::uint64_t key = 0;  // hash of the idempotency key; 0: none
  float work = 0;         // seconds that the host took
  float priority_weight = 0;
  std::uint16_t request_class = 0, tenant = 0, method = 0, path = 0, zone = 0;  // numbers of a NameTable
  Idempotency idempotency = Idempotency::Idempotent;
  Outcome outcome = Outcome::Served;
};

// The path with ids removed: a segment with three digits or more becomes "~", so "/swap/4711" is "/swap/~".
std::string shapeOf(std::string_view path);

class TrafficSample {
 public:
  static constexpr std::size_t kStrata = 64;  // further pairs of class and tenant share the last stratum

  // Holds at most `max_entries` entries, at least one for each stratum. They are kept in two generations of
  // half a `span` each; when the current one is complete, the older one is dropped.
  TrafficSample(std::size_t max_entries, Time span, std::uint64_t seed);

  // Records a request. Allocates no memory once every stratum is full.
  void note(const SampledRequest& entry);

  struct Weighted {
    SampledRequest entry;
    double weight = 1;  // the number of requests that it stands for
  };
  std::vector<Weighted> sample() const;
  // The number of requests that the sample stands for.
  std::uint64_t requestCount() const;
  // When the first of them was recorded.
  Time startTime() const {
    return generations_[1].strata.empty() ? generations_[0].started : generations_[1].started;
  }

 private:
  struct Stratum {
    std::uint32_t pair = 0;  // request class in the upper 16 bits, tenant in the lower
    std::uint64_t request_count = 0;
    std::vector<SampledRequest> entries;
  };
  struct Generation {
    Time started = 0;
    std::vector<Stratum> strata;
  };
  Stratum& stratumOf(const SampledRequest& request);

  const std::size_t stratum_size_;
  const Time span_;
  load_balancer::Random random_;
  std::array<Generation, 2> generations_;  // the current one and the previous one
};

}  // namespace client_proxy::traffic_sample
