// Stands between the members of a fleet: each sends to the others' front sockets here, and hears them from
// there. So one socket a member covers every pair, and what lies between can lose, delay, double, reorder and
// cut.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "random/random.h"

namespace client_proxy::rig {

class DatagramRelay {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Number = std::uint16_t;
  struct Link {
    double loss = 0, doubled = 0;
    std::chrono::microseconds least{0}, most{0};  // delay; what overtakes is reordered
  };

  // `members`: where each listens, by number. Runs in a thread of its own until it is destroyed.
  DatagramRelay(const std::vector<Endpoint>& members, std::uint64_t seed);
  ~DatagramRelay();
  DatagramRelay(const DatagramRelay&) = delete;
  DatagramRelay& operator=(const DatagramRelay&) = delete;

  // Where the others find a member, by number.
  const std::vector<Endpoint>& fronts() const { return at_; }
  void setLink(const Link& link);
  // Instead of setLink(), for each pair. Called in the relay's thread.
  void setLinkOf(std::function<Link(Number from, Number to)> link_of);
  // True: nothing goes this way. Called in the relay's thread.
  void setCut(std::function<bool(Number from, Number to)> cut);
  // Another process of this number: what is for the number reaches both.
  void addTwin(Number number, const Endpoint& listens);
  // As if `from` had sent it.
  void inject(Number from, Number to, const std::string& bytes);

  std::uint64_t passed() const { return passed_; }
  std::uint64_t lost() const { return lost_; }

 private:
  struct Front {
    explicit Front(boost::asio::io_context& io) : socket(io) {}
    boost::asio::ip::udp::socket socket;
    Endpoint from;
    std::array<char, 2048> bytes{};
  };

  void listen(Number to);
  void pass(Number from, Number to, const std::string& bytes);
  void deliver(Number from, Number to, const std::string& bytes);

  boost::asio::io_context io_;
  std::deque<Front> fronts_;
  std::vector<Endpoint> at_;
  std::mutex mutex_;  // of what follows, to random_
  std::vector<std::vector<Endpoint>> members_;
  std::map<Endpoint, Number> senders_;
  Link link_;
  std::function<Link(Number, Number)> link_of_;  // empty: link_ for all
  std::function<bool(Number, Number)> cut_;
  load_balancer::Random random_;
  std::atomic<std::uint64_t> passed_{0}, lost_{0};
  std::thread thread_;
};

}  // namespace client_proxy::rig
