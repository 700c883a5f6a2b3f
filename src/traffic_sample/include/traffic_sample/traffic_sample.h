// A bounded record of what was served: by class and tenant a sample of its own, so that the rare are in it,
// and weights that make it stand for all. No bodies, no keys in clear. No I/O, no clock.
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

// Names and paths by number: each is held once.
class NameTable {
 public:
  static constexpr std::uint16_t kOther = 0;  // of what came after kMost
  static constexpr std::size_t kMost = 4096;
  NameTable() : names_{""} {}
  std::uint16_t numberOf(std::string_view name);
  const std::string& at(std::uint16_t number) const { return names_[number]; }
  std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::vector<std::uint16_t> slots_;  // by hash, open addressing
};

struct SampledRequest {
  Time at = 0;
  std::uint64_t key = 0;  // hash; 0: none
  float work = 0;         // seconds that it took at its host
  float priority_weight = 0;
  std::uint16_t request_class = 0, tenant = 0, method = 0, path = 0, zone = 0;  // numbers of Names
  Idempotency idempotency = Idempotency::Idempotent;
  Outcome outcome = Outcome::Served;
};

// A path without its ids: parts with three digits or more are "~", so "/swap/4711" is "/swap/~".
std::string shapeOf(std::string_view path);

class TrafficSample {
 public:
  static constexpr std::size_t kStrata = 64;  // further pairs of class and tenant share the last one

  // Holds `most` entries at most; the older half is forgotten when `span` has passed.
  TrafficSample(std::size_t most, Time span, std::uint64_t seed);

  // Takes no memory once each stratum is full.
  void note(const SampledRequest& entry);

  struct Weighted {
    SampledRequest entry;
    double weight = 1;  // so many requests it stands for
  };
  std::vector<Weighted> sample() const;
  std::uint64_t seen() const;
  Time from() const { return generations_[1].strata.empty() ? generations_[0].begun : generations_[1].begun; }

 private:
  struct Stratum {
    std::uint32_t pair = 0;
    std::uint64_t seen = 0;
    std::vector<SampledRequest> held;
  };
  struct Generation {
    Time begun = 0;
    std::vector<Stratum> strata;
  };
  Stratum& stratumOf(const SampledRequest& entry);

  const std::size_t each_;
  const Time span_;
  load_balancer::Random random_;
  std::array<Generation, 2> generations_;  // the present one, and the one before
};

}  // namespace client_proxy::traffic_sample
