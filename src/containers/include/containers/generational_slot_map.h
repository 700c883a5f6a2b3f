// A table whose entries are found by a key, or by a handle that is invalid once its entry was erased, though
// the slot is used again. Slots are never given back to the heap. No I/O, no clock.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace client_proxy::containers {

template <typename Key, typename T>
class GenerationalSlotMap {
 public:
  using Handle = std::uint64_t;  // never 0

  // Valid until the next insert(). Null: there is none.
  T* find(const Key& key) {
    const auto it = index_.find(key);
    return it == index_.end() ? nullptr : &slots_[it->second].value;
  }
  T* findByHandle(Handle handle) {
    const Handle at = (handle >> 32) - 1;
    if (at >= slots_.size()) return nullptr;
    Slot& p = slots_[at];
    return p.used && p.generation == static_cast<std::uint32_t>(handle) ? &p.value : nullptr;
  }

  struct Inserted {
    T& value;
    Handle handle;
  };
  // `key` must not be in the table.
  Inserted insert(const Key& key) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t at = free_.back();
    free_.pop_back();
    index_.emplace(key, at);
    Slot& p = slots_[at];
    p.value = {};
    p.used = true;
    ++p.generation;
    return {p.value, (Handle{at} + 1) << 32 | p.generation};
  }
  void erase(const Key& key) {
    const auto it = index_.find(key);
    if (it == index_.end()) return;
    slots_[it->second].used = false;
    free_.push_back(it->second);
    index_.erase(it);
  }
  // All entries, in the order of their slots, which follows from the calls alone.
  template <typename Visit>
  void forEach(Visit visit) {
    for (Slot& p : slots_) {
      if (p.used) visit(p.value);
    }
  }
  std::size_t size() const { return index_.size(); }

 private:
  struct Slot {
    bool used = false;
    std::uint32_t generation = 0;
    T value{};
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<Key, std::uint32_t> index_;  // look-ups only: its order never shows
};

}  // namespace client_proxy::containers
