// Doubly linked lists through records that lie in a vector: no allocation for a place in a list, and records
// may move when the vector grows. A record has one Hook for each list that it can be in at the same time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace client_proxy::admission {

using Slot = std::uint32_t;
constexpr Slot kNoSlot = UINT32_MAX;

struct Hook {
  Slot before = kNoSlot, after = kNoSlot;
};

class SlotList {
 public:
  Slot front() const { return front_; }
  bool empty() const { return front_ == kNoSlot; }
  std::size_t size() const { return size_; }

  template <typename Record>
  void pushBack(std::vector<Record>& records, Hook Record::*hook, Slot slot) {
    records[slot].*hook = {.before = back_, .after = kNoSlot};
    (back_ == kNoSlot ? front_ : (records[back_].*hook).after) = slot;
    back_ = slot;
    ++size_;
  }

  template <typename Record>
  void remove(std::vector<Record>& records, Hook Record::*hook, Slot slot) {
    const Hook at = records[slot].*hook;
    (at.before == kNoSlot ? front_ : (records[at.before].*hook).after) = at.after;
    (at.after == kNoSlot ? back_ : (records[at.after].*hook).before) = at.before;
    --size_;
  }

 private:
  Slot front_ = kNoSlot, back_ = kNoSlot;
  std::size_t size_ = 0;
};

}  // namespace client_proxy::admission
