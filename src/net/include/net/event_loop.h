// The event loop of a process.
#pragma once

#include <boost/asio/io_context.hpp>

namespace client_proxy {

// One thread runs it. Any thread may post to it: storage and the writer of shared files do so when the disk
// has answered. Hence a concurrency hint of 1, which tells Asio that one thread runs the loop and leaves the
// locks of its queue in place, and not BOOST_ASIO_CONCURRENCY_HINT_UNSAFE, which removes them.
class EventLoop : public boost::asio::io_context {
 public:
  EventLoop() : boost::asio::io_context(kThreads) {}

 private:
  static constexpr int kThreads = 1;
};

}  // namespace client_proxy
