#include "datagram_relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

namespace client_proxy::rig {

namespace asio = boost::asio;
using boost::system::error_code;

DatagramRelay::DatagramRelay(const std::vector<Endpoint>& members, std::uint64_t seed) : random_(seed) {
  for (std::size_t n = 0; n < members.size(); ++n) {
    Front& front = fronts_.emplace_back(io_);
    front.socket.open(members[n].protocol());
    front.socket.bind({members[n].address(), 0});
    front.socket.set_option(asio::socket_base::receive_buffer_size(1 << 20));
    at_.push_back(front.socket.local_endpoint());
    members_.push_back({members[n]});
    senders_[members[n]] = static_cast<Number>(n);
  }
  for (std::size_t n = 0; n < members.size(); ++n) listen(static_cast<Number>(n));
  thread_ = std::thread([this] { io_.run(); });
}

DatagramRelay::~DatagramRelay() {
  io_.stop();
  thread_.join();
}

void DatagramRelay::setLink(const Link& link) {
  const std::lock_guard lock(mutex_);
  link_ = link;
}

void DatagramRelay::setLinkOf(std::function<Link(Number, Number)> link_of) {
  const std::lock_guard lock(mutex_);
  link_of_ = std::move(link_of);
}

void DatagramRelay::setCut(std::function<bool(Number, Number)> cut) {
  const std::lock_guard lock(mutex_);
  cut_ = std::move(cut);
}

void DatagramRelay::addTwin(Number number, const Endpoint& listens) {
  const std::lock_guard lock(mutex_);
  members_[number].push_back(listens);
  senders_[listens] = number;
}

void DatagramRelay::inject(Number from, Number to, const std::string& bytes) {
  asio::post(io_, [this, from, to, bytes] { deliver(from, to, bytes); });
}

void DatagramRelay::listen(Number to) {
  Front& front = fronts_[to];
  front.socket.async_receive_from(asio::buffer(front.bytes), front.from,
                                  [this, to](error_code ec, std::size_t size) {
                                    if (ec == asio::error::operation_aborted) return;
                                    Front& at = fronts_[to];
                                    if (!ec) {
                                      std::unique_lock lock(mutex_);
                                      const auto sender = senders_.find(at.from);
                                      const bool known = sender != senders_.end();
                                      const Number from = known ? sender->second : Number{0};
                                      lock.unlock();
                                      if (known) pass(from, to, std::string(at.bytes.data(), size));
                                    }
                                    listen(to);
                                  });
}

void DatagramRelay::pass(Number from, Number to, const std::string& bytes) {
  const std::lock_guard lock(mutex_);
  if (cut_ && cut_(from, to)) {
    ++lost_;
    return;
  }
  const Link link = link_of_ ? link_of_(from, to) : link_;
  const int copies = random_.unit() < link.doubled ? 2 : 1;
  for (int c = 0; c < copies; ++c) {
    if (random_.unit() < link.loss) {
      ++lost_;
      continue;
    }
    const auto delay =
        link.least + std::chrono::microseconds(static_cast<std::int64_t>(
                         random_.unit() * static_cast<double>((link.most - link.least).count())));
    if (delay.count() == 0) {
      asio::post(io_, [this, from, to, bytes] { deliver(from, to, bytes); });
      continue;
    }
    const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([this, timer, from, to, bytes](error_code ec) {
      if (!ec) deliver(from, to, bytes);
    });
  }
}

void DatagramRelay::deliver(Number from, Number to, const std::string& bytes) {
  const std::lock_guard lock(mutex_);
  ++passed_;
  for (const Endpoint& at : members_[to]) {
    error_code ignored;  // nobody listens there: as on any network
    fronts_[from].socket.send_to(asio::buffer(bytes), at, 0, ignored);
  }
}

}  // namespace client_proxy::rig
