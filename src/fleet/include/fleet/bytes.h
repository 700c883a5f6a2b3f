// Little-endian encoding and decoding of integers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace client_proxy::fleet {

// Appends `value` in little-endian byte order.
template <typename T>
void put(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i)
    out += static_cast<char>(static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

// Reads from the front. A read past the end returns zero (or an empty view), and ok() is false from then on.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  template <typename T>
  T get() {
    if (bytes_.size() < sizeof(T)) return fail<T>();
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
      value |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes_[i])) << (8 * i);
    bytes_.remove_prefix(sizeof(T));
    return static_cast<T>(value);
  }
  std::string_view take(std::size_t n) {
    if (bytes_.size() < n) return fail<std::string_view>();
    const std::string_view taken = bytes_.substr(0, n);
    bytes_.remove_prefix(n);
    return taken;
  }
  std::size_t left() const { return bytes_.size(); }
  bool ok() const { return ok_; }

 private:
  template <typename T>
  T fail() {
    bytes_ = {};
    ok_ = false;
    return T{};
  }
  std::string_view bytes_;
  bool ok_ = true;
};

}  // namespace client_proxy::fleet
