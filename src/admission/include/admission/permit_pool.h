// How a bounded number of places (file descriptors) is shared between clients' connections and those to
// hosts. No I/O, no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

#include "admission/rejection_reason.h"

namespace client_proxy::admission {

enum class Side : std::uint8_t { Clients, Hosts };

// Each side has a reserve that the other can't take: at least a fixed part, more where it has lately used
// more, never over half. What neither has in reserve goes to whoever comes first. A fixed split would leave
// places unused on one side while requests are lost for want of them on the other.
class PermitPool {
 public:
  struct Limits {
    std::size_t all = 1024;
    std::size_t least_clients = 128, least_hosts = 128;
  };

  explicit PermitPool(Limits limits) : limits_(limits) {}

  // How many `side` may hold in all.
  std::size_t most(Time now, Side side) {
    const Side other = side == Side::Clients ? Side::Hosts : Side::Clients;
    return limits_.all - std::min(limits_.all, std::max(reserve(now, other), used_[index(other)]));
  }
  // Whether one more place is free for `side`, nobody giving way.
  bool free(Time now, Side side) { return used() < limits_.all && used_[index(side)] < most(now, side); }
  // Takes a place. One that is not free may be taken where there is no choice; it is counted as well.
  void take(Time now, Side side) {
    ++used_[index(side)];
    fade(now, side);
  }
  void release(Time now, Side side) {
    fade(now, side);
    --used_[index(side)];
  }

  std::size_t used() const { return used_[0] + used_[1]; }
  std::size_t used(Side side) const { return used_[index(side)]; }
  std::size_t all() const { return limits_.all; }
  void setAll(std::size_t all) { limits_.all = all; }
  // What the other side can't take, used or not.
  std::size_t reserve(Time now, Side side) {
    fade(now, side);
    const std::size_t least = side == Side::Clients ? limits_.least_clients : limits_.least_hosts;
    const auto wanted = static_cast<std::size_t>(std::ceil(kMargin * peak_[index(side)]));
    return std::min(std::max(least, wanted), std::max(least, limits_.all / 2));
  }

 private:
  static constexpr double kMargin = 1.25;  // over the late peak
  static constexpr double kHalves = 10e6;  // microseconds in which a peak fades to half

  static constexpr std::size_t index(Side side) { return static_cast<std::size_t>(side); }

  void fade(Time now, Side side) {
    const std::size_t i = index(side);
    if (now > faded_[i]) {
      peak_[i] *= std::exp2(-static_cast<double>(now - faded_[i]) / kHalves);
      faded_[i] = now;
    }
    peak_[i] = std::max(peak_[i], static_cast<double>(used_[i]));
  }

  Limits limits_;
  std::array<std::size_t, 2> used_{};
  std::array<double, 2> peak_{};
  std::array<Time, 2> faded_{};
};

}  // namespace client_proxy::admission
