// Growing and releasing strings that serve as buffers, where the memory that they hold is counted.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace client_proxy {

// Makes room for `bytes` in all. Unlike std::string::reserve() it does not round up to twice the capacity
// before.
inline void growTo(std::string& buffer, std::size_t bytes) {
  if (bytes <= buffer.capacity()) return;
  std::string grown;
  grown.reserve(bytes);
  grown.append(buffer);
  buffer.swap(grown);
}

// Empties it and frees its memory, which clear() and the assignment of an empty string keep.
inline void release(std::string& buffer) { std::string().swap(buffer); }

}  // namespace client_proxy
