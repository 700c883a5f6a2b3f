// Doubly linked lists of records that are stored in a vector. Linking allocates nothing, and the records may
// move when the vector grows. A record has one Hook for each list that it can be in at the same time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace client_proxy::admission {

using Slot = std::uint32_t;  // index of a record
constexpr Slot kNoSlot = UINT32_MAX;

struct Hook {
  Slot previous = kNoSlot, next = kNoSlot;
};

// A list whose links are the records' member `hook`. Every call must pass the same vector and the same hook.
class SlotList {
 public:
  Slot front() const { return front_; }
  bool empty() const { return front_ == kNoSlot; }
  std::size_t size() const { return size_; }

  template <typename Record>
  void pushBack(std::vector<Record>& records, Hook Record::*hook, Slot slot) {
    records[slot].*hook = {.previous = back_, .next = kNoSlot};
    (back_ == kNoSlot ? front_ : (records[back_].*hook).next) = slot;
    back_ = slot;
    ++size_;
  }

  template <typename Record>
  void remove(std::vector<Record>& records, Hook Record::*hook, Slot slot) {
    const Hook removed = records[slot].*hook;
    (removed.previous == kNoSlot ? front_ : (records[removed.previous].*hook).next) = removed.next;
    (removed.next == kNoSlot ? back_ : (records[removed.next].*hook).previous) = removed.previous;
    --size_;
  }

 private:
  Slot front_ = kNoSlot, back_ = kNoSlot;
  std::size_t size_ = 0;
};

}  // namespace client_proxy::admission
