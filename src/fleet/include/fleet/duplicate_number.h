// Detects a second process that runs under this member's number. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>

#include "fleet/types.h"

namespace client_proxy::fleet {

// An incarnation of another life that is above ours is either left over from the process before this one,
// whose clock was ahead: one refutation ends that. Or its owner still runs and raises its own incarnation as
// often as we raise ours.
class DuplicateNumber {
 public:
  // A datagram that claims this member's number came from elsewhere.
  void onClaimed(Time now) { claimed_at_ = now; }
  // A standing of this member has arrived whose incarnation belongs to another life. False: it is not to be
  // refuted yet, or two processes would fill the network with refutations.
  bool onForeignIncarnation(Time now, Incarnation incarnation);
  // This member has raised its incarnation above somebody's.
  void onRefuted(Time now) { refuted_at_ = now; }
  // Either sign was seen within the last 30 s.
  bool detected(Time now) const { return now - std::max(foreign_at_, claimed_at_) < kDetectionHold; }

 private:
  static constexpr Time kDetectionHold = 30 * kSecond;
  static constexpr Time kRefuteInterval = kSecond;
  static constexpr int kRaisesOfRunningProcess = 3;

  std::uint16_t foreign_nonce_ = 0;
  int foreign_raises_ = 0;  // by that life, one after the other
  Time refuted_at_ = kLongAgo, foreign_at_ = kLongAgo, claimed_at_ = kLongAgo;
};

}  // namespace client_proxy::fleet
