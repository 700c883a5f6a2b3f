// Detects a second process that runs with this member's number. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>

#include "fleet/types.h"

namespace client_proxy::fleet {

// An incarnation with a foreign nonce that is above ours has one of two causes. It may be left over from the
// previous process of this member, whose clock was ahead: a single refutation supersedes it. Or another
// process still runs with the same number and raises its incarnation each time we raise ours.
class DuplicateNumber {
 public:
  // A datagram with this member's number as its sender arrived from another process.
  void onClaimed(Time now) { claimed_at_ = now; }
  // A standing of this member with a foreign nonce was received. Returns whether to refute it now:
  // refutations are limited to one per kRefuteInterval, or two processes would flood the network with them.
  bool onForeignIncarnation(Time now, Incarnation incarnation);
  // This member has raised its incarnation above a received one.
  void onRefuted(Time now) { refuted_at_ = now; }
  // Whether a claimed number or a repeatedly raised foreign incarnation was seen in the last 30 s.
  bool detected(Time now) const { return now - std::max(foreign_at_, claimed_at_) < kDetectionHold; }

 private:
  static constexpr Time kDetectionHold = 30 * kSecond;
  static constexpr Time kRefuteInterval = kSecond;
  static constexpr int kRaisesOfRunningProcess = 3;

  std::uint16_t foreign_nonce_ = 0;
  int foreign_raises_ = 0;  // consecutive, with that nonce
  Time refuted_at_ = kLongAgo, foreign_at_ = kLongAgo, claimed_at_ = kLongAgo;
};

}  // namespace client_proxy::fleet
