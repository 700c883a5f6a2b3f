#include "admission/repeats.h"

#include <algorithm>
#include <utility>

namespace client_proxy::admission {
namespace {

constexpr std::size_t kEntryCost = 200;  // beside its texts: two nodes, a place in line

}  // namespace

std::size_t Repeats::cost(const Tried& t) { return kEntryCost + 3 * t.id.size() + 2 * t.key.size(); }

const Tried* Repeats::byKey(const std::string& key) const {
  if (key.empty()) return nullptr;
  const auto it = of_key_.find(key);
  if (it == of_key_.end()) return nullptr;
  const auto found = all_.find(it->second.front());
  return found == all_.end() ? nullptr : &found->second.tried;
}

Repeats::Verdict Repeats::offer(Time now, Tried request) {
  expire(now);
  if (const auto it = all_.find(request.id); it != all_.end()) {
    const Tried& before = it->second.tried;
    if (before.ended == 0) return Verdict::Open;
    if (!before.safe || !request.safe) return Verdict::MayHaveRun;
    forget(request.id);
  }
  if (const Tried* const before = byKey(request.key)) {
    // A client's own repeat, under an id of its own. Where every host drops it, it may run beside the first.
    const bool dropped = before->window > 0 && now < before->began + before->window;
    if (!dropped) return before->ended == 0 ? Verdict::Open : Verdict::MayHaveRun;
    request.began = before->began;  // hosts count from the first
  } else {
    request.began = now;
  }
  request.ended = 0;
  keep(now, std::move(request), 0);
  return Verdict::New;
}

Tried Repeats::end(Time now, std::string_view id, bool may_have_run) {
  const auto it = all_.find(std::string(id));
  if (it == all_.end() || it->second.until != 0) return {};
  Tried tried = it->second.tried;
  tried.ended = std::max<Time>(now, 1);
  tried.never_ran = !may_have_run;
  forget(tried.id);
  // What may run any number of times needs no memory.
  if (may_have_run && !tried.safe) keep(now, tried, now + limits_.kept);
  return tried;
}

std::vector<Tried> Repeats::remember(Time now) const {
  std::vector<const Entry*> entries;
  for (const auto& [id, entry] : all_) {
    if (entry.until == 0 || entry.until > now) entries.push_back(&entry);
  }
  std::sort(entries.begin(), entries.end(), [](auto* a, auto* b) { return a->order < b->order; });
  std::vector<Tried> out;
  for (const Entry* e : entries) out.push_back(e->tried);
  return out;
}

void Repeats::recall(Time now, std::span<const Tried> known) {
  expire(now);
  for (Tried t : known) {
    if (t.id.empty() || t.began > now || t.ended > now) continue;  // of another clock
    t.window = std::clamp<Time>(t.window, 0, limits_.kept);
    const auto it = all_.find(t.id);
    if (it != all_.end() && it->second.until == 0) continue;  // open here: this process knows best
    if (it != all_.end()) forget(t.id);
    if (t.ended != 0 && (t.never_ran || t.safe)) continue;
    // One that is open there ends there, within the time that any request has; if that process is killed it
    // may have run.
    keep(now, std::move(t), now + limits_.kept);
  }
}

void Repeats::keep(Time now, Tried tried, Time until) {
  bytes_ += until != 0 ? cost(tried) : 0;
  const std::uint64_t order = next_order_++;
  if (!tried.key.empty()) of_key_[tried.key].push_back(tried.id);
  if (until != 0) due_.push_back({until, order, tried.id});
  const std::string id = tried.id;
  all_[id] = {std::move(tried), until, order};
  if (bytes_ > limits_.bytes) expire(now);
}

void Repeats::forget(const std::string& id) {
  const auto it = all_.find(id);
  if (it == all_.end()) return;
  const Tried& t = it->second.tried;
  if (it->second.until != 0) bytes_ -= cost(t);
  // Others of this key stay: one that never ran takes nothing from one that may have.
  if (const auto k = of_key_.find(t.key); k != of_key_.end()) {
    std::erase(k->second, id);
    if (k->second.empty()) of_key_.erase(k);
  }
  all_.erase(it);
}

void Repeats::expire(Time now) {
  while (!due_.empty() && (due_.front().until <= now || bytes_ > limits_.bytes)) {
    const Due due = std::move(due_.front());
    due_.pop_front();
    const auto it = all_.find(due.id);
    if (it != all_.end() && it->second.order == due.order) forget(due.id);
  }
}

}  // namespace client_proxy::admission
