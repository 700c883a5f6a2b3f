// Stands between processes that speak over TCP: it passes bytes on, and what lies between can be cut and
// healed. A cut loses nothing and closes nothing: bytes wait, as when routers between two regions drop them.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <utility>

namespace client_proxy::rig {

class TcpRelay {
 public:
  using Tcp = boost::asio::ip::tcp;

  TcpRelay() : thread_([this] { io_.run(); }) {}
  ~TcpRelay() {
    io_.stop();
    thread_.join();
  }
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  // Where `target` is found through the relay, at an address of this machine.
  Tcp::endpoint frontOf(const Tcp::endpoint& target, const boost::asio::ip::address& address) {
    Tcp::acceptor acceptor(io_, Tcp::endpoint(address, 0));
    const Tcp::endpoint front = acceptor.local_endpoint();
    boost::asio::co_spawn(io_, accept(std::move(acceptor), target), boost::asio::detached);
    return front;
  }
  void setCut(bool cut) { cut_ = cut; }

 private:
  static constexpr std::chrono::milliseconds kLook{20};
  using Socket = std::shared_ptr<Tcp::socket>;

  boost::asio::awaitable<void> untilHealed() {
    boost::asio::steady_timer timer(io_);
    while (cut_) {
      timer.expires_after(kLook);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }
  boost::asio::awaitable<void> accept(Tcp::acceptor acceptor, Tcp::endpoint target) {
    for (;;) {
      auto client = std::make_shared<Tcp::socket>(co_await acceptor.async_accept(boost::asio::use_awaitable));
      boost::asio::co_spawn(io_, join(client, target), boost::asio::detached);
    }
  }
  boost::asio::awaitable<void> join(Socket client, Tcp::endpoint target) {
    co_await untilHealed();
    auto server = std::make_shared<Tcp::socket>(io_);
    boost::system::error_code ec;
    co_await server->async_connect(target, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec) co_return;
    boost::asio::co_spawn(io_, pass(client, server), boost::asio::detached);
    boost::asio::co_spawn(io_, pass(server, client), boost::asio::detached);
  }
  // One way; its end ends the other way too.
  boost::asio::awaitable<void> pass(Socket from, Socket to) {
    std::array<char, 16 * 1024> bytes{};
    boost::system::error_code ec;
    for (;;) {
      const std::size_t size = co_await from->async_read_some(
          boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      co_await untilHealed();
      if (ec) break;
      co_await boost::asio::async_write(*to, boost::asio::buffer(bytes, size),
                                        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) break;
    }
    from->close(ec);
    to->close(ec);
  }

  std::atomic<bool> cut_ = false;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ =
      boost::asio::make_work_guard(io_);
  std::thread thread_;
};

}  // namespace client_proxy::rig
