// Stand-ins for what is round one proxy in a measurement, with counts of what they did: discovery that is
// watched, hosts that hold what they are asked, and watchers of discovery.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace client_proxy::bench {

// An event loop in a thread of its own.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  boost::asio::io_context& io() { return io_; }
  // In the thread, and done when this returns.
  void carryOut(const std::function<void()>& what);
  // CPU time of the thread so far, in milliseconds.
  double cpu();
  void stop();

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

// Lists a number of hosts, and tells whoever watches of each change.
class DiscoveryStandIn {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  enum class Told : std::uint8_t { WholeList, OneEntry };

  // `hosts`: where each is. Nobody has to be there.
  explicit DiscoveryStandIn(std::vector<Endpoint> hosts);
  ~DiscoveryStandIn();
  DiscoveryStandIn(const DiscoveryStandIn&) = delete;
  DiscoveryStandIn& operator=(const DiscoveryStandIn&) = delete;

  Endpoint at() const { return acceptor_.local_endpoint(); }
  nlohmann::json list() const;
  std::size_t watchers() const { return watching_; }
  // One host begins to drain, or is active again; all who watch are told.
  void change(std::size_t host, Told told);
  // The bytes of lists and heartbeats that were handed to the sockets of all watchers.
  std::uint64_t bytes() const { return bytes_; }
  double cpu() { return loop_.cpu(); }

 private:
  struct Watcher;
  void accept();
  void serve(const std::shared_ptr<Watcher>& watcher);
  nlohmann::json entry(std::size_t host) const;
  void beat();
  std::shared_ptr<const std::string> wholeList();
  void sayAll(const std::shared_ptr<const std::string>& text);
  void say(const std::shared_ptr<Watcher>& watcher, std::shared_ptr<const std::string> text);
  void write(const std::shared_ptr<Watcher>& watcher);

  const std::vector<Endpoint> hosts_;
  std::vector<bool> draining_;
  int revision_ = 1;
  std::atomic<std::size_t> watching_{0};
  std::atomic<std::uint64_t> bytes_{0};
  Loop loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<const std::string> whole_list_;  // as it is told; none: something has changed since
  std::set<std::shared_ptr<Watcher>> watchers_;
};

// Many that watch discovery and drop what they are told.
class Watchers {
 public:
  Watchers(const DiscoveryStandIn::Endpoint& discovery, std::size_t count);
  ~Watchers();
  Watchers(const Watchers&) = delete;
  Watchers& operator=(const Watchers&) = delete;
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct One;
  void read(One& one);
  std::atomic<std::uint64_t> bytes_{0};
  Loop loop_;
  std::deque<One> all_;
};

// Hosts that take requests without a body and answer none.
class HoldingHosts {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  explicit HoldingHosts(std::size_t count);
  ~HoldingHosts();
  HoldingHosts(const HoldingHosts&) = delete;
  HoldingHosts& operator=(const HoldingHosts&) = delete;

  std::vector<Endpoint> at() const;
  std::size_t held() const { return held_; }

 private:
  struct Held;
  void accept(boost::asio::ip::tcp::acceptor& acceptor);
  void read(const std::shared_ptr<Held>& one);
  std::atomic<std::size_t> held_{0};
  Loop loop_;
  std::deque<boost::asio::ip::tcp::acceptor> acceptors_;
  std::set<std::shared_ptr<Held>> all_;
};

}  // namespace client_proxy::bench
