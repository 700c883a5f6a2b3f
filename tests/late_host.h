// A host that accepts connections late, shared by tests over loopback sockets.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net_support.h"

namespace client_proxy::test {

// A host whose accept queue is full until open(): the kernel drops the SYN of a further connection, and the
// peer retransmits it a second later. So a connection is established late, and is never refused.
class LateHost {
 public:
  explicit LateHost(Loop& loop) : loop_(loop), acceptor_(loop.io) {
    acceptor_.open(tcp::v4());
    acceptor_.bind(anyPort());
    acceptor_.listen(0);
    while (fill()) {
    }
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void open() {
    filled_ = std::exchange(fillers_, {}).size();
    accept();
  }
  // Everything received so far, over all connections.
  std::string received() const {
    std::string all;
    for (const auto& p : peers_) all += p->got;
    return all;
  }
  // Connections accepted, without those that filled the queue before open().
  std::size_t connections() const { return peers_.size() - std::min(peers_.size(), filled_); }
  void answer(const std::string& body) {
    for (const auto& p : peers_) {
      if (p->heard("\r\n\r\n")) p->say(answerOf(body));
    }
  }

 private:
  // Opens one more connection. Returns false if the queue is full: it was not established within 100 ms,
  // which a loopback connection never takes.
  bool fill() {
    auto socket = std::make_shared<tcp::socket>(loop_.io);
    bool connected = false;
    socket->async_connect(endpoint(), [&connected, socket](error_code ec) { connected = !ec; });
    loop_.io.restart();
    loop_.io.run_for(std::chrono::milliseconds(100));
    if (connected) fillers_.push_back(socket);
    if (!connected) socket->close();
    loop_.turn();
    return connected;
  }
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      peers_.push_back(std::make_shared<Peer>(std::move(socket)));
      peers_.back()->listen();
      accept();
    });
  }
  Loop& loop_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<tcp::socket>> fillers_;
  std::vector<std::shared_ptr<Peer>> peers_;
  std::size_t filled_ = 0;
};

}  // namespace client_proxy::test
