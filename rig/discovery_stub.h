// A stand-in for discovery at large sizes: hosts that are listed and do not run, one address for all watches.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace client_proxy::rig {

class DiscoveryStub {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // Lists so many hosts, spread over the zones in turn. Runs in a thread of its own until it is destroyed.
  DiscoveryStub(const boost::asio::ip::address& address, std::size_t hosts, std::vector<std::string> zones);
  ~DiscoveryStub();
  DiscoveryStub(const DiscoveryStub&) = delete;
  DiscoveryStub& operator=(const DiscoveryStub&) = delete;

  const Endpoint& at() const { return at_; }
  // Down: its watches are reset and calls are refused.
  void set(bool up);
  // One host changes its state; all watches are told.
  void change(std::size_t host, const std::string& state);

  std::size_t watches() const { return watching_; }
  std::uint64_t bytesOut() const { return bytes_out_; }
  std::uint64_t calls() const { return calls_; }  // that were accepted

 private:
  class Watch;
  void listen();
  void accept();
  void beat();
  void tell(const std::string& text);
  std::string entry(std::size_t host) const;
  std::string wholeList() const;

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  boost::asio::steady_timer beat_;
  Endpoint at_;
  const std::vector<std::string> zones_;
  std::vector<std::string> states_;  // of the hosts
  std::uint64_t revision_ = 1;
  std::set<std::shared_ptr<Watch>> watches_;
  std::atomic<std::size_t> watching_{0};
  std::atomic<std::uint64_t> bytes_out_{0}, calls_{0};
  std::thread thread_;
};

}  // namespace client_proxy::rig
