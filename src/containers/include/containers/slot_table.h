// Numbered slots that are assigned lowest first; an entry keeps its slot while others are added and removed.
// No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace client_proxy::containers {

// `T` has a member `slot`, which is kNone while it has no slot. The table does not own its entries.
template <typename T>
class SlotTable {
 public:
  static constexpr std::int32_t kNone = -1;
  static constexpr std::int32_t kMaxSlots = 1 << 20;

  // Assigns the lowest free slot; no effect if `t` already has one.
  void assign(T& t) {
    if (t.slot != kNone) return;
    while (first_free_ < slots_.size() && slots_[first_free_] != nullptr) ++first_free_;
    if (first_free_ == slots_.size()) slots_.push_back(nullptr);
    slots_[first_free_] = &t;
    t.slot = static_cast<std::int32_t>(first_free_);
  }
  // Assigns this slot. Returns false if it is out of range or in use, or if `t` already has one.
  bool assign(T& t, std::int32_t slot) {
    if (slot < 0 || slot >= kMaxSlots || t.slot != kNone) return false;
    const auto index = static_cast<std::size_t>(slot);
    if (slots_.size() <= index) slots_.resize(index + 1);
    if (slots_[index] != nullptr) return false;
    slots_[index] = &t;
    t.slot = slot;
    return true;
  }
  void release(T& t) {
    if (t.slot == kNone) return;
    const auto index = static_cast<std::size_t>(t.slot);
    slots_[index] = nullptr;
    if (index < first_free_) first_free_ = index;
    t.slot = kNone;
  }
  // Removes all slots. The `slot` members of the entries are left unchanged.
  void clear() {
    slots_.clear();
    first_free_ = 0;
  }
  // Removes the free slots after the last one in use.
  void trim() {
    while (!slots_.empty() && slots_.back() == nullptr) slots_.pop_back();
    if (first_free_ > slots_.size()) first_free_ = slots_.size();
  }
  std::size_t size() const { return slots_.size(); }
  T* operator[](std::size_t slot) const { return slots_[slot]; }  // null: free

 private:
  std::vector<T*> slots_;
  std::size_t first_free_ = 0;  // all slots below it are in use
};

}  // namespace client_proxy::containers
