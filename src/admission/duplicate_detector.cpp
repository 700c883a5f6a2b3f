#include "admission/duplicate_detector.h"

#include <algorithm>
#include <utility>

namespace client_proxy::admission {
namespace {

constexpr std::size_t kEntryCost = 200;   // bytes in addition to its strings: two map nodes and an expiry
constexpr std::size_t kLongestName = 64;  // bytes of an id or key that is stored as it is

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) {  // FNV-1a
  std::uint64_t hash = 0xCBF29CE484222325ULL ^ seed;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
  return hash;
}

// An id or key as it is stored. A very long one is replaced by hashes: otherwise a few of them would take the
// memory of thousands of others.
std::string storedName(std::string_view name) {
  if (name.size() <= kLongestName) return std::string(name);
  return std::string(name.substr(0, kLongestName / 4)) + '#' + std::to_string(hashOf(name, 0)) + '#' +
         std::to_string(hashOf(name, name.size()));
}

}  // namespace

std::size_t DuplicateDetector::cost(const RequestRecord& record) {
  return kEntryCost + 3 * record.id.size() + 2 * record.key.size();
}

const RequestRecord* DuplicateDetector::findByKey(const std::string& key) const {
  if (key.empty()) return nullptr;
  const auto it = ids_by_key_.find(key);
  if (it == ids_by_key_.end()) return nullptr;
  const auto found = entries_by_id_.find(it->second.front());
  return found == entries_by_id_.end() ? nullptr : &found->second.record;
}

DuplicateDetector::Decision DuplicateDetector::offer(Time now, RequestRecord request) {
  expire(now);
  request.id = storedName(request.id);
  request.key = storedName(request.key);
  Decision decision;
  if (const auto it = entries_by_id_.find(request.id); it != entries_by_id_.end()) {
    const RequestRecord& before = it->second.record;
    if (before.ended == 0) return {Verdict::Open};
    if (!before.safe || !request.safe) return {Verdict::MayHaveRun};
    erase(request.id);
  }
  if (const RequestRecord* const before = findByKey(request.key)) {
    // The client repeats the request under a new id. Where every host drops the repeat, it may be sent as
    // well.
    const Time dropped_until = before->began + before->deduplication_window;
    if (now >= dropped_until) return {before->ended == 0 ? Verdict::Open : Verdict::MayHaveRun};
    request.began = before->began;  // hosts count the window from the first request
    decision.dropped_until = dropped_until;
  } else {
    request.began = now;
  }
  request.ended = 0;
  keep(now, std::move(request), 0);
  return decision;
}

RequestRecord DuplicateDetector::end(Time now, std::string_view id, bool may_have_run) {
  RequestRecord record = openRecord(id);
  if (record.id.empty()) return {};
  record.ended = std::max<Time>(now, 1);
  record.never_ran = !may_have_run;
  erase(record.id);
  // A safe request, or one that has not run, may be repeated and needs no record.
  if (may_have_run && !record.safe) keep(now, record, now + limits_.kept);
  return record;
}

RequestRecord DuplicateDetector::openRecord(std::string_view id) const {
  const auto it = entries_by_id_.find(storedName(id));
  return it == entries_by_id_.end() || it->second.until != 0 ? RequestRecord{} : it->second.record;
}

std::vector<RequestRecord> DuplicateDetector::snapshot(Time now) const {
  std::vector<const Entry*> entries;
  for (const auto& [id, entry] : entries_by_id_) {
    if (entry.until == 0 || entry.until > now) entries.push_back(&entry);
  }
  std::sort(entries.begin(), entries.end(), [](auto* a, auto* b) { return a->order < b->order; });
  std::vector<RequestRecord> out;
  out.reserve(entries.size());
  for (const Entry* e : entries) out.push_back(e->record);
  return out;
}

void DuplicateDetector::restore(Time now, std::span<const RequestRecord> known) {
  expire(now);
  for (RequestRecord record : known) {
    if (record.id.empty() || record.began > now || record.ended > now) continue;  // from a different clock
    record.id = storedName(record.id);
    record.key = storedName(record.key);
    record.deduplication_window = std::clamp<Time>(record.deduplication_window, 0, limits_.kept);
    const auto it = entries_by_id_.find(record.id);
    if (it != entries_by_id_.end() && it->second.until == 0)
      continue;  // open here: the local record is authoritative
    if (it != entries_by_id_.end()) erase(record.id);
    if (record.ended != 0 && (record.never_ran || record.safe)) continue;
    // A request that is open in the other process ends there within the time limit of any request. If that
    // process is killed, the request may have run.
    keep(now, std::move(record), now + limits_.kept);
  }
}

void DuplicateDetector::keep(Time now, RequestRecord record, Time until) {
  bytes_ += until != 0 ? cost(record) : 0;
  const std::uint64_t order = next_order_++;
  if (!record.key.empty()) ids_by_key_[record.key].push_back(record.id);
  if (until != 0) expiries_.push_back({until, order, record.id});
  const std::string id = record.id;
  entries_by_id_[id] = {std::move(record), until, order};
  if (bytes_ > limits_.bytes) expire(now);
}

void DuplicateDetector::erase(const std::string& id) {
  const auto it = entries_by_id_.find(id);
  if (it == entries_by_id_.end()) return;
  const RequestRecord& record = it->second.record;
  if (it->second.until != 0) bytes_ -= cost(record);
  // Other requests with this key stay recorded: one that never ran does not cancel one that may have.
  if (const auto ids = ids_by_key_.find(record.key); ids != ids_by_key_.end()) {
    std::erase(ids->second, id);
    if (ids->second.empty()) ids_by_key_.erase(ids);
  }
  entries_by_id_.erase(it);
}

void DuplicateDetector::expire(Time now) {
  while (!expiries_.empty() && (expiries_.front().until <= now || bytes_ > limits_.bytes)) {
    const Expiry expiry = std::move(expiries_.front());
    expiries_.pop_front();
    const auto it = entries_by_id_.find(expiry.id);
    if (it != entries_by_id_.end() && it->second.order == expiry.order) erase(expiry.id);
  }
}

}  // namespace client_proxy::admission
