#include "net/timers.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace client_proxy {
namespace {

// Later than this, the process was not scheduled for a while.
constexpr Time kStalled = 5 * kMillisecond;

}  // namespace

Timers::Id Timers::at(Time when, std::function<void()> callback) {
  const Id id(when, next_order_++);
  pending_.emplace_hint(pending_.end(), id, std::move(callback));
  if (!running_ && when < armed_for_) arm();
  return id;
}

void Timers::arm() {
  armed_for_ = pending_.empty() ? kNever : pending_.begin()->first.when_;
  if (pending_.empty()) return;
  const Time wait = std::max<Time>(0, armed_for_ - clock_.now());
  timer_.expires_after(std::chrono::microseconds(wait));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) fired();
  });
}

// After a stall, answers may wait unread in the sockets while their time-outs are due. Input is looked at
// first: a posted handler runs behind the sockets that are ready now, and each further round lets what those
// reads led to (a head, then its body) come in as well.
void Timers::fired() {
  running_ = true;  // no re-arming meanwhile
  const bool stalled = clock_.now() - armed_for_ > kStalled;
  yieldThenRun(stalled ? 3 : 0);
}

void Timers::yieldThenRun(int rounds) {
  if (rounds == 0) return runDue();
  boost::asio::post(timer_.get_executor(), [this, rounds] { yieldThenRun(rounds - 1); });
}

void Timers::runDue() {
  const Time now = clock_.now();
  while (!pending_.empty() && pending_.begin()->first.when_ <= now) {
    const auto due = pending_.extract(pending_.begin());
    due.mapped()();
  }
  running_ = false;
  arm();
}

}  // namespace client_proxy
