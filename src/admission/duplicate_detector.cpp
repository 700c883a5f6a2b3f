#include "admission/duplicate_detector.h"

#include <algorithm>
#include <utility>

namespace client_proxy::admission {
namespace {

constexpr std::size_t kEntryCost = 200;  // beside its texts: two nodes, a place in line

}  // namespace

std::size_t DuplicateDetector::cost(const RequestRecord& t) {
  return kEntryCost + 3 * t.id.size() + 2 * t.key.size();
}

const RequestRecord* DuplicateDetector::byKey(const std::string& key) const {
  if (key.empty()) return nullptr;
  const auto it = of_key_.find(key);
  if (it == of_key_.end()) return nullptr;
  const auto found = all_.find(it->second.front());
  return found == all_.end() ? nullptr : &found->second.tried;
}

DuplicateDetector::Verdict DuplicateDetector::offer(Time now, RequestRecord request) {
  expire(now);
  if (const auto it = all_.find(request.id); it != all_.end()) {
    const RequestRecord& before = it->second.tried;
    if (before.ended == 0) return Verdict::Open;
    if (!before.safe || !request.safe) return Verdict::MayHaveRun;
    forget(request.id);
  }
  if (const RequestRecord* const before = byKey(request.key)) {
    // A client's own repeat, under an id of its own. Where every host drops it, it may run beside the first.
    const bool dropped =
        before->deduplication_window > 0 && now < before->began + before->deduplication_window;
    if (!dropped) return before->ended == 0 ? Verdict::Open : Verdict::MayHaveRun;
    request.began = before->began;  // hosts count from the first
  } else {
    request.began = now;
  }
  request.ended = 0;
  keep(now, std::move(request), 0);
  return Verdict::New;
}

RequestRecord DuplicateDetector::end(Time now, std::string_view id, bool may_have_run) {
  const auto it = all_.find(std::string(id));
  if (it == all_.end() || it->second.until != 0) return {};
  RequestRecord tried = it->second.tried;
  tried.ended = std::max<Time>(now, 1);
  tried.never_ran = !may_have_run;
  forget(tried.id);
  // What may run any number of times needs no memory.
  if (may_have_run && !tried.safe) keep(now, tried, now + limits_.kept);
  return tried;
}

std::vector<RequestRecord> DuplicateDetector::snapshot(Time now) const {
  std::vector<const Entry*> entries;
  for (const auto& [id, entry] : all_) {
    if (entry.until == 0 || entry.until > now) entries.push_back(&entry);
  }
  std::sort(entries.begin(), entries.end(), [](auto* a, auto* b) { return a->order < b->order; });
  std::vector<RequestRecord> out;
  out.reserve(entries.size());
  for (const Entry* e : entries) out.push_back(e->tried);
  return out;
}

void DuplicateDetector::restore(Time now, std::span<const RequestRecord> known) {
  expire(now);
  for (RequestRecord t : known) {
    if (t.id.empty() || t.began > now || t.ended > now) continue;  // of another clock
    t.deduplication_window = std::clamp<Time>(t.deduplication_window, 0, limits_.kept);
    const auto it = all_.find(t.id);
    if (it != all_.end() && it->second.until == 0) continue;  // open here: this process knows best
    if (it != all_.end()) forget(t.id);
    if (t.ended != 0 && (t.never_ran || t.safe)) continue;
    // One that is open there ends there, within the time that any request has; if that process is killed it
    // may have run.
    keep(now, std::move(t), now + limits_.kept);
  }
}

void DuplicateDetector::keep(Time now, RequestRecord tried, Time until) {
  bytes_ += until != 0 ? cost(tried) : 0;
  const std::uint64_t order = next_order_++;
  if (!tried.key.empty()) of_key_[tried.key].push_back(tried.id);
  if (until != 0) due_.push_back({until, order, tried.id});
  const std::string id = tried.id;
  all_[id] = {std::move(tried), until, order};
  if (bytes_ > limits_.bytes) expire(now);
}

void DuplicateDetector::forget(const std::string& id) {
  const auto it = all_.find(id);
  if (it == all_.end()) return;
  const RequestRecord& t = it->second.tried;
  if (it->second.until != 0) bytes_ -= cost(t);
  // Others of this key stay: one that never ran takes nothing from one that may have.
  if (const auto k = of_key_.find(t.key); k != of_key_.end()) {
    std::erase(k->second, id);
    if (k->second.empty()) of_key_.erase(k);
  }
  all_.erase(it);
}

void DuplicateDetector::expire(Time now) {
  while (!due_.empty() && (due_.front().until <= now || bytes_ > limits_.bytes)) {
    const Due due = std::move(due_.front());
    due_.pop_front();
    const auto it = all_.find(due.id);
    if (it != all_.end() && it->second.order == due.order) forget(due.id);
  }
}

}  // namespace client_proxy::admission
