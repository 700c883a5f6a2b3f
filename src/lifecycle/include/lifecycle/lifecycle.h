// The life of one process as its clients see it: it starts, serves, drains when staff say so, hands its
// clients to the process that takes its place, ends. One state machine: events and the time in, steps out. No
// I/O, no clock.
//
// Draining by hand is apart from the phase: it outlives a hand-over that fails, and a drained process can be
// ended like any other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace client_proxy::lifecycle {

using Time = std::int64_t;  // microseconds, of any steady clock
constexpr Time kNothingDue = std::numeric_limits<Time>::max();

enum class Phase : std::uint8_t {
  Starting,   // nobody is accepted yet
  Serving,    // accepts, answers
  HandingOn,  // another process accepts; what is at rest goes there, the rest is finished here
  Ending,     // SIGTERM: accepts while connections may still come, then finishes what it has
  Ended,      // the process is to leave
};

struct Step {
  enum class Kind : std::uint8_t {
    SendAway,   // each answer closes its connection from now on
    Keep,       // answers keep their connections again
    CloseIdle,  // those that have rested for `rested` microseconds
    GiveAway,   // accept nobody; each connection at rest goes to the other process
    RollBack,   // accept again, give nothing away
    AnswerAll,  // whatever is open, or comes still, has its answer by `by`
    StopListening,
    Leave,  // the last step there is
  };
  Kind kind;
  Time rested = 0;
  Time by = 0;
  bool operator==(const Step&) const = default;
};
using Steps = std::vector<Step>;  // to be carried out in order

class Lifecycle {
 public:
  // `longest`: what a client waits at most, by the settings.
  explicit Lifecycle(Time longest) : longest_(longest) {}
  void setLongest(Time longest) { longest_ = longest; }

  Phase phase() const { return phase_; }
  bool drained() const { return drained_; }
  bool serves() const { return phase_ != Phase::Starting && phase_ != Phase::Ended; }

  // Every on… function appends to `out`; one that says nothing new changes nothing. After each, onTime() is
  // wanted at due().
  void onListening() { phase_ = phase_ == Phase::Starting ? Phase::Serving : phase_; }
  // Staff. False: it is so already.
  bool onDrain(Time now, Steps& out);
  bool onUndrain(Steps& out);
  // The other process serves, or has gone without.
  void onHandOn(Steps& out);
  void onRollBack(Steps& out);
  // SIGTERM. False: it has come before.
  bool onEnd(Time now, Steps& out);
  // `connections`: of clients, that are open here.
  void onTime(Time now, std::size_t connections, Steps& out);
  Time due() const;

 private:
  void closeRested(Time now, Steps& out);
  void finish(Time now, std::size_t connections, Steps& out);
  bool sendsAway() const { return drained_ || ending_; }

  Time longest_;
  Phase phase_ = Phase::Starting;
  bool drained_ = false, ending_ = false;
  Time drained_at_ = 0, close_due_ = kNothingDue;  // of draining by hand
  Time idle_due_ = kNothingDue;                    // of ending: what rests is closed
  Time deaf_due_ = kNothingDue;                    // nobody is accepted any more
  Time look_due_ = kNothingDue;                    // whether something is left
  Time last_due_ = kNothingDue;                    // leaves, whatever is left
};

}  // namespace client_proxy::lifecycle
