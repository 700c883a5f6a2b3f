#include "traffic_sample/traffic_sample.h"

#include <algorithm>
#include <utility>

#include "random/fnv.h"

namespace client_proxy::traffic_sample {
namespace {

constexpr std::size_t kSlots = 4 * NameTable::kMaxNames;
constexpr int kIdDigits = 3;  // a segment with at least this many digits is taken for an id

}  // namespace

std::uint16_t NameTable::numberOf(std::string_view name) {
  if (slots_.empty()) slots_.assign(kSlots, kOther);
  for (std::size_t position = load_balancer::fnv64(name) % kSlots;; position = (position + 1) % kSlots) {
    const std::uint16_t n = slots_[position];
    if (n != kOther && names_[n] == name) return n;
    if (n != kOther) continue;
    if (names_.size() >= kMaxNames) return kOther;
    slots_[position] = static_cast<std::uint16_t>(names_.size());
    names_.emplace_back(name);
    return slots_[position];
  }
}

std::string shapeOf(std::string_view path) {
  std::string out;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/', 1), path.size());
    const std::string_view segment = path.substr(0, end);
    path.remove_prefix(end);
    const auto digits =
        std::count_if(segment.begin(), segment.end(), [](char c) { return c >= '0' && c <= '9'; });
    out += digits < kIdDigits ? segment : segment.front() == '/' ? "/~" : "~";
  }
  return out;
}

TrafficSample::TrafficSample(std::size_t max_entries, Time span, std::uint64_t seed)
    : stratum_size_(std::max<std::size_t>(1, max_entries / (2 * kStrata))), span_(span), random_(seed) {}

TrafficSample::Stratum& TrafficSample::stratumOf(const SampledRequest& request) {
  const std::uint32_t pair = std::uint32_t{request.request_class} << 16 | request.tenant;
  std::vector<Stratum>& strata = generations_[0].strata;
  const auto it =
      std::find_if(strata.begin(), strata.end(), [&](const Stratum& s) { return s.pair == pair; });
  if (it != strata.end()) return *it;
  if (strata.size() >= kStrata) return strata.back();
  strata.push_back({pair, 0, {}});
  strata.back().entries.reserve(stratum_size_);
  return strata.back();
}

// Reservoir sampling: all requests of a stratum are kept with the same probability (Vitter's algorithm R).
void TrafficSample::note(const SampledRequest& entry) {
  Generation& current = generations_[0];
  if (current.strata.empty() && current.started == 0) current.started = entry.at;
  if (entry.at - current.started >= span_ / 2) {
    generations_[1] = std::move(current);
    current = {entry.at, {}};
  }
  Stratum& s = stratumOf(entry);
  ++s.request_count;
  if (s.entries.size() < stratum_size_) {
    s.entries.push_back(entry);
    return;
  }
  const auto position = static_cast<std::uint64_t>(random_.unit() * static_cast<double>(s.request_count));
  if (position < stratum_size_) s.entries[position] = entry;
}

std::vector<TrafficSample::Weighted> TrafficSample::sample() const {
  std::vector<Weighted> all;
  for (const Generation& generation : generations_) {
    for (const Stratum& s : generation.strata) {
      const double weight = static_cast<double>(s.request_count) /
                            static_cast<double>(std::max<std::size_t>(1, s.entries.size()));
      for (const SampledRequest& request : s.entries) all.push_back({request, weight});
    }
  }
  return all;
}

std::uint64_t TrafficSample::requestCount() const {
  std::uint64_t all = 0;
  for (const Generation& generation : generations_) {
    for (const Stratum& s : generation.strata) all += s.request_count;
  }
  return all;
}

}  // namespace client_proxy::traffic_sample
