// Numbered places that stay as they are while others come and go: the lowest free one is taken first. No I/O,
// no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace client_proxy::containers {

// `T` has a member `slot`, which is kNone where it has no place. The table owns nothing.
template <typename T>
class SlotTable {
 public:
  static constexpr std::int32_t kNone = -1;
  static constexpr std::int32_t kMost = 1 << 20;

  // Whoever has a place keeps it.
  void take(T& t) {
    if (t.slot != kNone) return;
    while (free_ < places_.size() && places_[free_] != nullptr) ++free_;
    if (free_ == places_.size()) places_.push_back(nullptr);
    places_[free_] = &t;
    t.slot = static_cast<std::int32_t>(free_);
  }
  // False: there is no such place, or it is another's.
  bool take(T& t, std::int32_t slot) {
    if (slot < 0 || slot >= kMost || t.slot != kNone) return false;
    const auto at = static_cast<std::size_t>(slot);
    if (places_.size() <= at) places_.resize(at + 1);
    if (places_[at] != nullptr) return false;
    places_[at] = &t;
    t.slot = slot;
    return true;
  }
  void give(T& t) {
    if (t.slot == kNone) return;
    const auto at = static_cast<std::size_t>(t.slot);
    places_[at] = nullptr;
    if (at < free_) free_ = at;
    t.slot = kNone;
  }
  // Whose places these were is not told.
  void clear() {
    places_.clear();
    free_ = 0;
  }
  // Free places behind the last one that is taken are no places.
  void trim() {
    while (!places_.empty() && places_.back() == nullptr) places_.pop_back();
    if (free_ > places_.size()) free_ = places_.size();
  }
  std::size_t size() const { return places_.size(); }
  T* operator[](std::size_t slot) const { return places_[slot]; }  // null: free

 private:
  std::vector<T*> places_;
  std::size_t free_ = 0;  // none below it is free
};

}  // namespace client_proxy::containers
