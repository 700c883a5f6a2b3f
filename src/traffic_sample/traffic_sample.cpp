#include "traffic_sample/traffic_sample.h"

#include <algorithm>
#include <utility>

#include "random/fnv.h"

namespace client_proxy::traffic_sample {
namespace {

constexpr std::size_t kSlots = 4 * NameTable::kMost;
constexpr int kIdDigits = 3;  // a part with so many is an id, and no word of a route

}  // namespace

std::uint16_t NameTable::numberOf(std::string_view name) {
  if (slots_.empty()) slots_.assign(kSlots, kOther);
  for (std::size_t at = load_balancer::fnv64(name) % kSlots;; at = (at + 1) % kSlots) {
    const std::uint16_t n = slots_[at];
    if (n != kOther && names_[n] == name) return n;
    if (n != kOther) continue;
    if (names_.size() >= kMost) return kOther;
    slots_[at] = static_cast<std::uint16_t>(names_.size());
    names_.emplace_back(name);
    return slots_[at];
  }
}

std::string shapeOf(std::string_view path) {
  std::string out;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/', 1), path.size());
    const std::string_view part = path.substr(0, end);
    path.remove_prefix(end);
    const auto digits = std::count_if(part.begin(), part.end(), [](char c) { return c >= '0' && c <= '9'; });
    out += digits < kIdDigits ? part : part.front() == '/' ? "/~" : "~";
  }
  return out;
}

TrafficSample::TrafficSample(std::size_t most, Time span, std::uint64_t seed)
    : each_(std::max<std::size_t>(1, most / (2 * kStrata))), span_(span), random_(seed) {}

TrafficSample::Stratum& TrafficSample::stratumOf(const SampledRequest& e) {
  const std::uint32_t pair = std::uint32_t{e.request_class} << 16 | e.tenant;
  std::vector<Stratum>& strata = generations_[0].strata;
  const auto it =
      std::find_if(strata.begin(), strata.end(), [&](const Stratum& s) { return s.pair == pair; });
  if (it != strata.end()) return *it;
  if (strata.size() >= kStrata) return strata.back();
  strata.push_back({pair, 0, {}});
  strata.back().held.reserve(each_);
  return strata.back();
}

// Each of a stratum's requests is held with the same chance (Vitter's algorithm R).
void TrafficSample::note(const SampledRequest& entry) {
  Generation& now = generations_[0];
  if (now.strata.empty() && now.begun == 0) now.begun = entry.at;
  if (entry.at - now.begun >= span_ / 2) {
    generations_[1] = std::move(now);
    now = {entry.at, {}};
  }
  Stratum& s = stratumOf(entry);
  ++s.seen;
  if (s.held.size() < each_) {
    s.held.push_back(entry);
    return;
  }
  const auto at = static_cast<std::uint64_t>(random_.unit() * static_cast<double>(s.seen));
  if (at < each_) s.held[at] = entry;
}

std::vector<TrafficSample::Weighted> TrafficSample::sample() const {
  std::vector<Weighted> all;
  for (const Generation& half : generations_) {
    for (const Stratum& s : half.strata) {
      const double weight =
          static_cast<double>(s.seen) / static_cast<double>(std::max<std::size_t>(1, s.held.size()));
      for (const SampledRequest& e : s.held) all.push_back({e, weight});
    }
  }
  return all;
}

std::uint64_t TrafficSample::seen() const {
  std::uint64_t all = 0;
  for (const Generation& half : generations_) {
    for (const Stratum& s : half.strata) all += s.seen;
  }
  return all;
}

}  // namespace client_proxy::traffic_sample
