// Typed messages to one task, in the order in which they were posted, so many at most.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <optional>
#include <utility>

namespace client_proxy::tasks {

template <typename M>
class Mailbox {
 public:
  // `io`: the loop of the task that takes.
  Mailbox(boost::asio::io_context& io, std::size_t most) : channel_(io, most) {}

  // From any thread. False: it is full or closed, and the message is not taken; what that means is for the
  // package that posts to say.
  bool post(M message) { return channel_.try_send(boost::system::error_code{}, std::move(message)); }
  // The next one; nothing: it was closed and is empty.
  boost::asio::awaitable<std::optional<M>> take() {
    try {
      co_return co_await channel_.async_receive(boost::asio::use_awaitable);
    } catch (const boost::system::system_error&) {
      co_return std::nullopt;
    }
  }
  // One that is there already.
  std::optional<M> takeNow() {
    std::optional<M> taken;
    channel_.try_receive([&](boost::system::error_code ec, M message) {
      if (!ec) taken = std::move(message);
    });
    return taken;
  }
  // No more are taken in; what is there can still be taken.
  void close() { channel_.close(); }

 private:
  boost::asio::experimental::concurrent_channel<void(boost::system::error_code, M)> channel_;
};

}  // namespace client_proxy::tasks
