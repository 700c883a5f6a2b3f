// Stand-ins for what is round the proxies: hosts by zone that count every execution, discovery, and a network
// between zones that goes silent without a reset.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "events.h"
#include "plan.h"
#include "random/random.h"

namespace client_proxy::rig {

// Who can reach whom: zones, and outside them all where discovery is. What comes while a way is cut waits.
class Ways {
 public:
  explicit Ways(std::size_t zones) : zones_(zones), cut_(zones, false) {}
  std::size_t outside() const { return zones_; }
  bool open(std::size_t a, std::size_t b) const { return a == b || !(cut(a) || cut(b)); }
  void set(std::size_t zone, bool cut);
  // Does it now, or once the way is open.
  void whenOpen(std::size_t a, std::size_t b, std::function<void()> then);

 private:
  struct Waiting {
    std::size_t a, b;
    std::function<void()> then;
  };
  bool cut(std::size_t zone) const { return zone < zones_ && cut_[zone]; }
  const std::size_t zones_;
  std::vector<bool> cut_;
  std::list<Waiting> waiting_;
};

// What the hosts of a zone know together: keys that ran, and the newest term by which a class was asked for.
struct ZoneMemory {
  std::map<std::string, std::chrono::steady_clock::time_point> keys;
  std::map<std::string, std::uint32_t> terms;
};

// Where one host, or discovery, is found by the proxies of one zone. Cut off, it takes nobody, so that new
// connections never come up.
class Door {
 public:
  using Tcp = boost::asio::ip::tcp;
  using Taken = std::function<void(Tcp::socket)>;
  Door(boost::asio::io_context& io, const boost::asio::ip::address& address, Taken taken);
  const Tcp::endpoint& at() const { return at_; }
  void open();
  void block();  // as if what is sent here were lost
  void close();  // connections are refused
  bool taking() const { return taking_; }

 private:
  void accept();
  boost::asio::io_context& io_;
  Tcp::endpoint at_;
  Tcp::acceptor acceptor_;
  Taken taken_;
  bool taking_ = false;
  std::vector<Tcp::socket> fillers_;  // hold the places in the queue of a blocked door
};

class Host;
class Directory;

class Site {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  Site(const Plan& plan, Record& record);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  Endpoint discovery(std::size_t zone) const;
  // The list that a proxy of a zone has from its start, as discovery words it.
  std::string known(std::size_t zone) const;
  // How many requests have run at a host.
  std::vector<std::size_t> ran() const;

  // Faults; each is undone by its opposite.
  void cut(std::size_t zone, bool cut);
  void host(std::size_t n, bool up);  // down: its connections are reset, and new ones are refused
  void leave(std::size_t n, bool leaving);
  void discovery(bool up);

 private:
  void carryOut(const std::function<void()>& what) const;

  const Plan plan_;
  Record& record_;
  mutable boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  load_balancer::Random random_;
  Ways ways_;
  std::vector<ZoneMemory> memories_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::unique_ptr<Directory> directory_;
  std::thread thread_;
};

}  // namespace client_proxy::rig
