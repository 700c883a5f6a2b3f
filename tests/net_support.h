// Shared by the tests over loopback sockets: one loop, and peers that say what a test tells them to.
// Everything waits for events; the limit only ends a test that has failed.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "net/descriptors.h"
#include "net/event_loop.h"
#include "net/log.h"
#include "net/timers.h"

namespace client_proxy::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds kLimit{30};

inline tcp::endpoint anyPort() { return {asio::ip::make_address("127.0.0.1"), 0}; }

struct Loop {
  EventLoop io;
  Clock clock;
  Timers timers{io, clock};
  Log log{clock, "test"};
  Descriptors descriptors{clock, 64};

  bool until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
    return true;
  }
  // Lets whatever is ready now be handled.
  void turn() {
    io.restart();
    io.poll();
  }
};

// One side of a connection that takes in all it is sent.
class Peer : public std::enable_shared_from_this<Peer> {
 public:
  explicit Peer(tcp::socket socket) : socket_(std::move(socket)) {}
  // `from`: the address it comes from; by default the system's choice.
  static std::shared_ptr<Peer> connect(Loop& loop, const tcp::endpoint& to, const char* from = nullptr) {
    tcp::socket socket(loop.io);
    if (from != nullptr) {
      socket.open(tcp::v4());
      socket.bind({asio::ip::make_address(from), 0});
    }
    socket.connect(to);
    const auto peer = std::make_shared<Peer>(std::move(socket));
    peer->listen();
    return peer;
  }

  void listen() {
    socket_.async_read_some(asio::buffer(bytes_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) {
        self->ended = true;
        self->reset = ec != asio::error::eof;
        return;
      }
      self->got.append(self->bytes_.data(), n);
      self->listen();
    });
  }
  void say(std::string text) {
    const auto kept = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*kept),
                      [kept, self = shared_from_this()](error_code ec, std::size_t) {
                        ++(ec ? self->failed : self->said);
                      });
  }
  void endSending() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }
  bool heard(const std::string& text) const { return got.find(text) != std::string::npos; }

  std::string got;
  bool ended = false, reset = false;
  int said = 0, failed = 0;  // writes

 private:
  tcp::socket socket_;
  std::array<char, 16 * 1024> bytes_;
};

// Accepts whoever comes.
class Host {
 public:
  explicit Host(Loop& loop) : acceptor_(loop.io, anyPort()) { accept(); }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::deque<std::shared_ptr<Peer>> peers;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->listen();
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

inline std::string answerOf(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace client_proxy::test
