#include "stand_ins.h"

#include <time.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <future>
#include <utility>

namespace client_proxy::bench {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;
using Tcp = asio::ip::tcp;

constexpr std::size_t kReadAtOnce = 64 * 1024;
constexpr std::chrono::seconds kHeartbeat{2};  // an empty line, by the protocol
constexpr const char* kAnswerHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kHeadEnd = "\r\n\r\n";

Tcp::endpoint anyPort() { return {asio::ip::make_address("127.0.0.1"), 0}; }

// One chunk of a chunked answer.
std::string chunkOf(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

}  // namespace

// ---- the loop ----

Loop::Loop() : work_(io_.get_executor()), thread_([this] { io_.run(); }) {}

Loop::~Loop() { stop(); }

void Loop::stop() {
  if (!thread_.joinable()) return;
  io_.stop();
  thread_.join();
}

void Loop::carryOut(const std::function<void()>& what) {
  std::promise<void> done;
  asio::post(io_, [&] {
    what();
    done.set_value();
  });
  done.get_future().wait();
}

double Loop::cpu() {
  timespec used{};
  carryOut([&] { clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used); });
  return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

// ---- discovery ----

struct DiscoveryStandIn::Watcher {
  explicit Watcher(Tcp::socket taken) : socket(std::move(taken)) {}
  Tcp::socket socket;
  std::string request;
  std::deque<std::shared_ptr<const std::string>> out;
};

DiscoveryStandIn::DiscoveryStandIn(std::vector<Endpoint> hosts)
    : hosts_(std::move(hosts)),
      draining_(hosts_.size(), false),
      acceptor_(loop_.io(), anyPort()),
      timer_(loop_.io()) {
  loop_.carryOut([this] {
    accept();
    beat();
  });
}

DiscoveryStandIn::~DiscoveryStandIn() { loop_.stop(); }

json DiscoveryStandIn::entry(std::size_t host) const {
  const Endpoint& at = hosts_[host];
  return {{"uid", "host-" + std::to_string(host)},
          {"endpoint", at.address().to_string() + ":" + std::to_string(at.port())},
          {"az", "zone-0"},
          {"model", "m1"},
          {"pod_group", 0},
          {"state", draining_[host] ? "leaving" : "active"},
          {"capacity_hint", 1.0},
          {"boot_ms", 0}};
}

json DiscoveryStandIn::list() const {
  json targets = json::array();
  for (std::size_t host = 0; host < hosts_.size(); ++host) targets.push_back(entry(host));
  return {{"rev", revision_}, {"all", true}, {"targets", std::move(targets)}};
}

void DiscoveryStandIn::accept() {
  acceptor_.async_accept([this](error_code ec, Tcp::socket socket) {
    if (ec) return;
    const auto watcher = std::make_shared<Watcher>(std::move(socket));
    watcher->socket.set_option(Tcp::no_delay(true));
    serve(watcher);
    accept();
  });
}

void DiscoveryStandIn::serve(const std::shared_ptr<Watcher>& watcher) {
  asio::async_read_until(watcher->socket, asio::dynamic_buffer(watcher->request), kHeadEnd,
                         [this, watcher](error_code ec, std::size_t) {
                           if (ec) return;
                           watchers_.insert(watcher);
                           ++watching_;
                           say(watcher, std::make_shared<const std::string>(kAnswerHead));
                           say(watcher, wholeList());
                         });
}

void DiscoveryStandIn::change(std::size_t host, Told told) {
  loop_.carryOut([&] {
    draining_[host] = !draining_[host];
    ++revision_;
    whole_list_.reset();
    if (told == Told::WholeList) return sayAll(wholeList());
    const json news = {{"rev", revision_}, {"all", false}, {"targets", json::array({entry(host)})}};
    sayAll(std::make_shared<const std::string>(chunkOf(news.dump() + "\n")));
  });
}

void DiscoveryStandIn::beat() {
  timer_.expires_after(kHeartbeat);
  timer_.async_wait([this](error_code ec) {
    if (ec) return;
    sayAll(std::make_shared<const std::string>(chunkOf("\n")));
    beat();
  });
}

std::shared_ptr<const std::string> DiscoveryStandIn::wholeList() {
  if (!whole_list_) whole_list_ = std::make_shared<const std::string>(chunkOf(list().dump() + "\n"));
  return whole_list_;
}

void DiscoveryStandIn::sayAll(const std::shared_ptr<const std::string>& text) {
  for (const auto& watcher : watchers_) say(watcher, text);
}

void DiscoveryStandIn::say(const std::shared_ptr<Watcher>& watcher, std::shared_ptr<const std::string> text) {
  bytes_ += text->size();
  watcher->out.push_back(std::move(text));
  if (watcher->out.size() == 1) write(watcher);
}

void DiscoveryStandIn::write(const std::shared_ptr<Watcher>& watcher) {
  asio::async_write(watcher->socket, asio::buffer(*watcher->out.front()),
                    [this, watcher](error_code ec, std::size_t) {
                      watcher->out.pop_front();
                      if (ec) {
                        watchers_.erase(watcher);
                      } else if (!watcher->out.empty()) {
                        write(watcher);
                      }
                    });
}

// ---- watchers ----

struct Watchers::One {
  explicit One(asio::io_context& io) : socket(io), bytes(kReadAtOnce) {}
  Tcp::socket socket;
  std::vector<char> bytes;
};

Watchers::Watchers(const DiscoveryStandIn::Endpoint& discovery, std::size_t count) {
  loop_.carryOut([&] {
    for (std::size_t n = 0; n < count; ++n) {
      One& one = all_.emplace_back(loop_.io());
      one.socket.connect(discovery);
      asio::write(one.socket, asio::buffer(std::string("GET /v1/servers?watch=1&from=0 HTTP/1.1\r\n\r\n")));
      read(one);
    }
  });
}

Watchers::~Watchers() { loop_.stop(); }

void Watchers::read(One& one) {
  one.socket.async_read_some(asio::buffer(one.bytes), [this, &one](error_code ec, std::size_t n) {
    if (ec) return;
    bytes_ += n;
    read(one);
  });
}

// ---- hosts ----

struct HoldingHosts::Held {
  explicit Held(Tcp::socket taken) : socket(std::move(taken)) {}
  Tcp::socket socket;
  std::string request;
};

HoldingHosts::HoldingHosts(std::size_t count) {
  loop_.carryOut([&] {
    for (std::size_t n = 0; n < count; ++n) accept(acceptors_.emplace_back(loop_.io(), anyPort()));
  });
}

HoldingHosts::~HoldingHosts() { loop_.stop(); }

std::vector<HoldingHosts::Endpoint> HoldingHosts::at() const {
  std::vector<Endpoint> all;
  for (const Tcp::acceptor& a : acceptors_) all.push_back(a.local_endpoint());
  return all;
}

void HoldingHosts::accept(Tcp::acceptor& acceptor) {
  acceptor.async_accept([this, &acceptor](error_code ec, Tcp::socket socket) {
    if (ec) return;
    const auto one = std::make_shared<Held>(std::move(socket));
    all_.insert(one);
    read(one);
    accept(acceptor);
  });
}

void HoldingHosts::read(const std::shared_ptr<Held>& one) {
  asio::async_read_until(one->socket, asio::dynamic_buffer(one->request), kHeadEnd,
                         [this, one](error_code ec, std::size_t) {
                           if (!ec) ++held_;
                         });
}

}  // namespace client_proxy::bench
