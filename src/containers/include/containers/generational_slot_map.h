// A map whose entries are found by key, or by a handle that becomes invalid when its entry is erased, even if
// the slot is reused. Memory of erased slots is reused, but not returned to the heap. No I/O, no clock.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace client_proxy::containers {

template <typename Key, typename T>
class GenerationalSlotMap {
 public:
  using Handle = std::uint64_t;  // never 0

  // Valid until the next insert(). Null if there is no such entry.
  T* find(const Key& key) {
    const auto it = index_.find(key);
    return it == index_.end() ? nullptr : &slots_[it->second].value;
  }
  // Likewise; null also if the entry of this handle was erased.
  T* findByHandle(Handle handle) {
    const Handle position = (handle >> 32) - 1;
    if (position >= slots_.size()) return nullptr;
    Slot& slot = slots_[position];
    return slot.used && slot.generation == static_cast<std::uint32_t>(handle) ? &slot.value : nullptr;
  }

  struct Inserted {
    T& value;
    Handle handle;
  };
  // `key` must not be in the map.
  Inserted insert(const Key& key) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t position = free_.back();
    free_.pop_back();
    index_.emplace(key, position);
    Slot& slot = slots_[position];
    slot.value = {};
    slot.used = true;
    ++slot.generation;
    return {slot.value, (Handle{position} + 1) << 32 | slot.generation};
  }
  void erase(const Key& key) {
    const auto it = index_.find(key);
    if (it == index_.end()) return;
    slots_[it->second].used = false;
    free_.push_back(it->second);
    index_.erase(it);
  }
  // Visits all entries in slot order, which depends on the sequence of calls only, not on hashes.
  template <typename Visit>
  void forEach(Visit visit) {
    for (Slot& slot : slots_) {
      if (slot.used) visit(slot.value);
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
  std::unordered_map<Key, std::uint32_t> index_;  // never iterated, so hash order has no effect
};

}  // namespace client_proxy::containers
