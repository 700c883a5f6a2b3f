// Numbered slots that keep their holders while others come and go: the lowest free one is taken first. No
// I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace client_proxy::containers {

// `T` has a member `slot`, which is kNone where it has no slot. The table owns nothing.
template <typename T>
class SlotTable {
 public:
  static constexpr std::int32_t kNone = -1;
  static constexpr std::int32_t kMost = 1 << 20;

  // Takes the lowest free slot; who has one keeps it.
  void take(T& t) {
    if (t.slot != kNone) return;
    while (free_ < slots_.size() && slots_[free_] != nullptr) ++free_;
    if (free_ == slots_.size()) slots_.push_back(nullptr);
    slots_[free_] = &t;
    t.slot = static_cast<std::int32_t>(free_);
  }
  // False: there is no such slot, or it is another's.
  bool take(T& t, std::int32_t slot) {
    if (slot < 0 || slot >= kMost || t.slot != kNone) return false;
    const auto at = static_cast<std::size_t>(slot);
    if (slots_.size() <= at) slots_.resize(at + 1);
    if (slots_[at] != nullptr) return false;
    slots_[at] = &t;
    t.slot = slot;
    return true;
  }
  void give(T& t) {
    if (t.slot == kNone) return;
    const auto at = static_cast<std::size_t>(t.slot);
    slots_[at] = nullptr;
    if (at < free_) free_ = at;
    t.slot = kNone;
  }
  // The holders are not told.
  void clear() {
    slots_.clear();
    free_ = 0;
  }
  // Removes the free slots behind the last one that is taken.
  void trim() {
    while (!slots_.empty() && slots_.back() == nullptr) slots_.pop_back();
    if (free_ > slots_.size()) free_ = slots_.size();
  }
  std::size_t size() const { return slots_.size(); }
  T* operator[](std::size_t slot) const { return slots_[slot]; }  // null: free

 private:
  std::vector<T*> slots_;
  std::size_t free_ = 0;  // none below it is free
};

}  // namespace client_proxy::containers
