// What one client has seen of zones by its own attempts: which answer, and which are silent as a whole. No
// I/O, no clock.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

#include "weldflow/balancer.h"

namespace quinceline::locality {

using Seen = weldflow::ZoneSeen;

class Sight {
 public:
  using Time = std::int64_t;                 // microseconds, of any steady clock
  static constexpr Time kFresh = 3'000'000;  // what was seen longer ago says nothing of now

  void answered(std::int32_t zone, Time now);
  // An attempt that was sent at `sent` has met silence at a server of the zone. True: so have two servers
  // there, with no answer from the zone but some from elsewhere since this one was sent. To find it out of
  // each server by itself would cost every client some requests for each.
  bool silent(std::int32_t zone, std::string_view server, Time sent, Time now);
  // Of late; one silent server is enough, since this is told to others who have seen more.
  Seen seen(std::int32_t zone, Time now) const;
  // The others say that it is back: what was seen before says nothing any more.
  void forget(std::int32_t zone) { zones_.erase(zone); }

 private:
  static constexpr Time kNever = std::numeric_limits<Time>::min() / 2;
  struct Zone {
    Time last_answer = kNever, silent_at = kNever;
    std::string silent;  // the server there that was silent first, with no answer from the zone since
  };
  std::map<std::int32_t, Zone> zones_;
  Time last_answer_ = kNever;  // of any server
};

}  // namespace quinceline::locality
