#include "discovery_stub.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

namespace client_proxy::rig {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

constexpr std::chrono::seconds kBeat{2};

std::string chunk(const std::string& text) {
  std::string size(20, '\0');
  size.resize(static_cast<std::size_t>(std::snprintf(size.data(), size.size(), "%zx\r\n", text.size())));
  return size + text + "\r\n";
}

}  // namespace

// One call; a watch once its answer has begun.
class DiscoveryStub::Watch : public std::enable_shared_from_this<Watch> {
 public:
  Watch(DiscoveryStub& owner, Tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {}

  void read() {
    asio::async_read_until(socket_, in_, "\r\n\r\n",
                           [self = shared_from_this()](error_code failed, std::size_t) {
                             if (self->owner_ == nullptr) return;
                             if (failed) return self->end();
                             ++self->owner_->watching_;
                             self->watching_ = true;
                             self->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                       chunk(self->owner_->wholeList()));
                             self->waitForEnd();
                           });
  }
  void say(const std::string& text) {
    const bool writing = !out_.empty();
    out_ += text;
    if (!writing) write();
  }
  bool watching() const { return watching_; }
  void end() {
    DiscoveryStub* const owner = std::exchange(owner_, nullptr);
    if (owner == nullptr) return;
    if (watching_) --owner->watching_;
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);  // a reset
    socket_.close(ignored);
    owner->watches_.erase(shared_from_this());
  }

 private:
  void write() {
    sending_ = out_;
    asio::async_write(socket_, asio::buffer(sending_),
                      [self = shared_from_this()](error_code failed, std::size_t n) {
                        if (self->owner_ == nullptr) return;
                        if (failed) return self->end();
                        self->owner_->bytes_out_ += n;
                        self->out_.erase(0, n);
                        if (!self->out_.empty()) self->write();
                      });
  }
  void waitForEnd() {
    asio::async_read(socket_, asio::buffer(&byte_, 1),
                     [self = shared_from_this()](error_code, std::size_t) { self->end(); });
  }

  DiscoveryStub* owner_;  // null: it has ended
  Tcp::socket socket_;
  asio::streambuf in_;
  std::string out_, sending_;
  char byte_ = 0;
  bool watching_ = false;
};

DiscoveryStub::DiscoveryStub(const asio::ip::address& address, std::size_t hosts,
                             std::vector<std::string> zones)
    : work_(io_.get_executor()),
      beat_(io_),
      at_(address, 0),
      zones_(std::move(zones)),
      states_(hosts, "active") {
  listen();
  beat();
  thread_ = std::thread([this] { io_.run(); });
}

DiscoveryStub::~DiscoveryStub() {
  io_.stop();
  thread_.join();
}

void DiscoveryStub::listen() {
  acceptor_.emplace(io_, at_);
  at_ = acceptor_->local_endpoint();
  accept();
}

void DiscoveryStub::accept() {
  acceptor_->async_accept([this](error_code failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) {
      ++calls_;
      const auto watch = std::make_shared<Watch>(*this, std::move(socket));
      watches_.insert(watch);
      watch->read();
    }
    accept();
  });
}

void DiscoveryStub::beat() {
  beat_.expires_after(kBeat);
  beat_.async_wait([this](error_code failed) {
    if (failed) return;
    tell("\n");
    beat();
  });
}

void DiscoveryStub::tell(const std::string& text) {
  const std::string bytes = chunk(text);
  for (const auto& watch : watches_) {
    if (watch->watching()) watch->say(bytes);
  }
}

void DiscoveryStub::set(bool up) {
  std::promise<void> done;
  asio::post(io_, [&] {
    if (up && !acceptor_) listen();
    if (!up) {
      acceptor_.reset();
      for (const auto& watch : std::set(watches_)) watch->end();
    }
    done.set_value();
  });
  done.get_future().wait();
}

void DiscoveryStub::change(std::size_t host, const std::string& state) {
  asio::post(io_, [this, host, state] {
    states_[host] = state;
    ++revision_;
    tell("{\"rev\":" + std::to_string(revision_) + ",\"all\":false,\"targets\":[" + entry(host) + "]}\n");
  });
}

std::string DiscoveryStub::entry(std::size_t host) const {
  return json{{"uid", "h" + std::to_string(host)},
              {"endpoint", at_.address().to_string() + ":1"},  // nobody listens there
              {"az", zones_[host % zones_.size()]},
              {"state", states_[host]},
              {"boot_ms", 1'700'000'000'000}}
      .dump();
}

std::string DiscoveryStub::wholeList() const {
  std::string targets;
  for (std::size_t host = 0; host < states_.size(); ++host) targets += (host == 0 ? "" : ",") + entry(host);
  return "{\"rev\":" + std::to_string(revision_) + ",\"all\":true,\"targets\":[" + targets + "]}\n";
}

}  // namespace client_proxy::rig
