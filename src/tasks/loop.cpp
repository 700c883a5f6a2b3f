#include "tasks/loop.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace client_proxy::tasks {

Loop::Loop(std::string name)
    : name_(std::move(name)),
      io_(1),
      work_(io_.get_executor()),
      timer_(io_),
      beat_(Clock::now().time_since_epoch().count()),
      thread_([this] {
        beat();
        io_.run();
      }) {}

Loop::~Loop() { end(); }

void Loop::beat() {
  beat_ = Clock::now().time_since_epoch().count();
  timer_.expires_after(kBeat);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec && !ended_) beat();
  });
}

std::chrono::milliseconds Loop::silence() const {
  const Clock::time_point last{Clock::duration(beat_.load())};
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - last);
  return since <= 2 * kBeat ? std::chrono::milliseconds(0) : since;
}

void Loop::end() {
  if (!thread_.joinable()) return;
  boost::asio::post(io_, [this] {
    ended_ = true;  // a beat that was due before this call is not cancelled any more
    timer_.cancel();
    work_.reset();
  });
  thread_.join();
}

}  // namespace client_proxy::tasks
