// A thread with a loop of its own. What runs on it alone owns its files, sockets and state; others reach it
// by mailboxes.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace client_proxy::tasks {

class Loop {
 public:
  using Clock = std::chrono::steady_clock;

  // Begins at once. `name`: for messages about it.
  explicit Loop(std::string name);
  // As end().
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  boost::asio::io_context& io() { return io_; }
  const std::string& name() const { return name_; }
  // How long it has not taken part: it is at one thing, or stuck in it. From any thread.
  std::chrono::milliseconds silence() const;
  // Returns once all that was begun on it has come to its end. Nothing may wait there for what never comes.
  void end();

 private:
  void beat();
  static constexpr std::chrono::milliseconds kBeat{100};

  const std::string name_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::steady_timer timer_;
  std::atomic<Clock::rep> beat_;
  bool ended_ = false;  // the loop's own thread's
  std::thread thread_;
};

}  // namespace client_proxy::tasks
