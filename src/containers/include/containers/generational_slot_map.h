// A table whose entries are found by a key, or by a ticket that says nothing any more once its entry was
// closed, though the place is used again. Places are never given back to the heap. No I/O, no clock.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace client_proxy::containers {

template <typename Key, typename T>
class GenerationalSlotMap {
 public:
  using Handle = std::uint64_t;  // never 0

  // Valid until the next open(). Null: there is none.
  T* find(const Key& key) {
    const auto it = index_.find(key);
    return it == index_.end() ? nullptr : &places_[it->second].value;
  }
  T* findByHandle(Handle handle) {
    const Handle at = (handle >> 32) - 1;
    if (at >= places_.size()) return nullptr;
    Place& p = places_[at];
    return p.used && p.generation == static_cast<std::uint32_t>(handle) ? &p.value : nullptr;
  }

  struct Inserted {
    T& value;
    Handle handle;
  };
  // `key` must not be open.
  Inserted open(const Key& key) {
    if (unused_.empty()) {
      unused_.push_back(static_cast<std::uint32_t>(places_.size()));
      places_.emplace_back();
    }
    const std::uint32_t at = unused_.back();
    unused_.pop_back();
    index_.emplace(key, at);
    Place& p = places_[at];
    p.value = {};
    p.used = true;
    ++p.generation;
    return {p.value, (Handle{at} + 1) << 32 | p.generation};
  }
  void close(const Key& key) {
    const auto it = index_.find(key);
    if (it == index_.end()) return;
    places_[it->second].used = false;
    unused_.push_back(it->second);
    index_.erase(it);
  }
  // All that are open, in the order of their places, which follows from the calls alone.
  template <typename Visit>
  void each(Visit visit) {
    for (Place& p : places_) {
      if (p.used) visit(p.value);
    }
  }
  std::size_t size() const { return index_.size(); }

 private:
  struct Place {
    bool used = false;
    std::uint32_t generation = 0;
    T value{};
  };
  std::vector<Place> places_;
  std::vector<std::uint32_t> unused_;
  std::unordered_map<Key, std::uint32_t> index_;  // look-ups only: its order never shows
};

}  // namespace client_proxy::containers
