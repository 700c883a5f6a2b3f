#include "net/discovery.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/error.hpp>
#include <stdexcept>
#include <utility>

#include "net/socket_io.h"

namespace client_proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kMostLine = 4 * 1024 * 1024;  // some ten thousand hosts
constexpr std::size_t kRead = 16 * 1024;

std::string addressOf(const Endpoint& endpoint) {
  return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

}  // namespace

class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  explicit Watch(Discovery& owner) : owner_(&owner), socket_(owner.io_) {
    request_ = "GET /v1/servers?watch=1&from=" + std::to_string(owner.revision_) +
               " HTTP/1.1\r\nHost: " + addressOf(owner.endpoint_) + "\r\nAccept: application/json\r\n\r\n";
  }

  void start() {
    heard_ = owner_->timers_.clock().now();
    socket_.async_connect(owner_->endpoint_, [self = shared_from_this()](error_code ec) {
      if (self->owner_ == nullptr) return;
      if (ec) return self->fail("cannot connect: " + ec.message());
      self->connected_ = true;
      self->heard_ = self->owner_->timers_.clock().now();
      self->ask();
      self->read();
    });
    lookAfter();
  }

  // No further word from this watch.
  void stop() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void ask() {
    error_code ec;
    socket_.non_blocking(true, ec);
    if (ec) return fail("cannot ask: " + ec.message());
    writeWhole(socket_, asio::buffer(request_), [self = shared_from_this()](error_code failed) {
      if (failed) self->fail("cannot ask: " + failed.message());
    });
  }
  void read() {
    socket_.async_read_some(in_.space(kRead), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (self->owner_ == nullptr) return;
      if (ec) return self->fail("the watch broke: " + ec.message());
      self->in_.commit(n);
      self->heard_ = self->owner_->timers_.clock().now();
      self->parse();
    });
  }

  void parse() {
    error_code ec;
    while (in_.size() > 0 && !parser_.is_done()) {
      const std::size_t used = parser_.put(in_.data(), ec);
      in_.consume(used);
      if (ec == http::error::need_more && in_.size() <= kMostHead + kRead) break;
      if (ec) return fail("the answer is malformed: " + ec.message());
      if (parser_.is_header_done()) {
        if (parser_.status != 200) return fail("answered " + std::to_string(parser_.status));
        parser_.eager(true);
      }
    }
    if (!lines()) return;
    if (parser_.is_done()) return fail("the watch ended");
    if (parser_.body.size() > kMostLine) return fail("a line is too long");
    read();
  }

  // False: the watch is over.
  bool lines() {
    std::size_t from = 0;
    std::string text = std::move(parser_.body);
    parser_.body.clear();
    for (;;) {
      const std::size_t end = text.find('\n', from);
      if (end == std::string::npos) break;
      std::string_view line(text.data() + from, end - from);
      from = end + 1;
      while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.remove_suffix(1);
      if (line.empty()) continue;  // a heartbeat
      HostList list;
      try {
        list = parseHostList(line, owner_->zones_, BadEntry::PassOver);
      } catch (const std::exception& e) {
        fail(std::string("a list is malformed: ") + e.what());
        return false;
      }
      if (!isNews(list)) {
        if (told_ || !list.full) continue;
        fail("an older list than the one we have");
        return false;
      }
      told_ = true;
      revision_ = list.revision;
      if (owner_->watch_.get() == this) {
        owner_->revision_ = list.revision;
        if (const auto former = std::exchange(owner_->former_, nullptr)) former->stop();
      }
      owner_->sink_.onHostList(list);
      if (owner_ == nullptr) return false;
    }
    parser_.body.assign(text, from, std::string::npos);
    return true;
  }

  // An older word after a newer one is late, not news: a host that drains would be in use again. Where a new
  // call begins so, discovery may have lost what it knew: then it is asked for all it has, and that is taken.
  bool isNews(const HostList& list) {
    if (list.revision >= std::max(revision_, owner_->watch_.get() == this ? owner_->revision_ : 0))
      return true;
    if (!told_ && list.full) owner_->revision_ = 0;
    return false;
  }

  Time silentAt() const {
    const Limits& limits = owner_->limits_;
    return heard_ + (!connected_ ? limits.connect : told_ ? limits.silence : limits.first_line);
  }
  void lookAfter() {
    owner_->timers_.at(silentAt(), [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->owner_ == nullptr) return;
      if (self->owner_->timers_.clock().now() >= self->silentAt()) return self->fail("silent");
      self->lookAfter();
    });
  }

  void fail(const std::string& why) {
    Discovery* const owner = owner_;
    if (owner == nullptr) return;
    const auto self = shared_from_this();
    stop();
    if (owner->former_ == self) {
      owner->former_.reset();
      if (owner->watch_) return;  // else its lists passed for a watch that goes on
    } else {
      owner->watch_.reset();
    }
    owner->sink_.onDiscoveryLost(why);
  }

  Discovery* owner_;  // null: stopped
  asio::ip::tcp::socket socket_;
  std::string request_;
  ReadBuffer in_;
  ResponseParser parser_{std::nullopt};
  Time heard_ = 0;
  std::uint64_t revision_ = 0;  // of the last line
  bool connected_ = false, told_ = false;
};

Discovery::Limits Discovery::agentLimits() {
  Limits limits;
  limits.connect = limits.first_line = 300 * kMillisecond;
  return limits;
}

Discovery::Discovery(asio::io_context& io, Timers& timers, Zones& zones, DiscoverySink& sink,
                     const Endpoint& endpoint, std::uint64_t revision, Limits limits)
    : io_(io),
      timers_(timers),
      zones_(zones),
      sink_(sink),
      endpoint_(endpoint),
      revision_(revision),
      limits_(limits) {}

Discovery::~Discovery() {
  if (former_) former_->stop();
  if (watch_) watch_->stop();
}

void Discovery::subscribe() {
  if (watch_) watch_->stop();
  watch_ = std::make_shared<Watch>(*this);
  watch_->start();
}

void Discovery::moveTo(const Endpoint& endpoint) {
  if (former_) former_->stop();
  former_ = std::exchange(watch_, nullptr);
  endpoint_ = endpoint;
  revision_ = 0;
  subscribe();
}

}  // namespace client_proxy
