// Shares a limited number of permits (file descriptors) between client connections and connections to hosts.
// No I/O, no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

#include "admission/rejection_reason.h"

namespace client_proxy::admission {

enum class Side : std::uint8_t { Clients, Hosts };

// Each side has a reserve that the other can't use: at least a fixed number, more after a recent peak of its
// own use, but at most half of all permits. The remainder is first come, first served. A fixed split would
// leave permits unused on one side while requests are lost for want of them on the other.
class PermitPool {
 public:
  struct Limits {
    std::size_t all = 1024;                              // permits in total
    std::size_t least_clients = 128, least_hosts = 128;  // minimum reserves
  };

  explicit PermitPool(Limits limits) : limits_(limits) {}

  // The most permits that `side` may hold at present.
  std::size_t most(Time now, Side side) {
    const Side other = side == Side::Clients ? Side::Hosts : Side::Clients;
    return limits_.all - std::min(limits_.all, std::max(reserve(now, other), used_[index(other)]));
  }
  // Whether `side` can take one more permit without another connection being closed.
  bool free(Time now, Side side) { return used() < limits_.all && used_[index(side)] < most(now, side); }
  // Takes a permit, even if none is free: a descriptor that is unavoidably in use counts as well.
  void take(Time now, Side side) {
    ++used_[index(side)];
    decay(now, side);
  }
  void release(Time now, Side side) {
    decay(now, side);
    --used_[index(side)];
  }

  std::size_t used() const { return used_[0] + used_[1]; }
  std::size_t used(Side side) const { return used_[index(side)]; }
  std::size_t all() const { return limits_.all; }
  void setAll(std::size_t all) { limits_.all = all; }
  // How many permits the other side can't take, whether they are used or not.
  std::size_t reserve(Time now, Side side) {
    decay(now, side);
    const std::size_t least = side == Side::Clients ? limits_.least_clients : limits_.least_hosts;
    const auto wanted = static_cast<std::size_t>(std::ceil(kMargin * peak_[index(side)]));
    return std::min(std::max(least, wanted), std::max(least, limits_.all / 2));
  }

 private:
  static constexpr double kMargin = 1.25;    // times the recent peak
  static constexpr double kHalfLife = 10e6;  // microseconds in which a recorded peak decays to half

  static constexpr std::size_t index(Side side) { return static_cast<std::size_t>(side); }

  void decay(Time now, Side side) {
    const std::size_t i = index(side);
    if (now > decayed_at_[i]) {
      peak_[i] *= std::exp2(-static_cast<double>(now - decayed_at_[i]) / kHalfLife);
      decayed_at_[i] = now;
    }
    peak_[i] = std::max(peak_[i], static_cast<double>(used_[i]));
  }

  Limits limits_;
  std::array<std::size_t, 2> used_{};
  std::array<double, 2> peak_{};
  std::array<Time, 2> decayed_at_{};
};

}  // namespace client_proxy::admission
