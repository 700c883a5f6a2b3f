#include "net/upstream.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "host_connection.h"

namespace client_proxy {
namespace {

namespace asio = boost::asio;
using load_balancer::Result;

constexpr Time kSweep = 500 * kMillisecond;
constexpr double kReuseWeight = 0.1;       // the last ten or so uses of kept connections count
constexpr double kMostBrokenReuse = 0.04;  // one break among them: about nine good ones are needed again

}  // namespace

Upstream::Upstream(asio::io_context& io, Timers& timers, Descriptors& descriptors, AttemptSink& sink,
                   Limits limits, std::shared_ptr<MemoryAccount> memory)
    : io_(io),
      timers_(timers),
      descriptors_(descriptors),
      sink_(sink),
      limits_(limits),
      memory_(std::move(memory)) {
  sweep();
}

Upstream::~Upstream() {
  attempts_.clear();
  while (!connections_.empty()) {
    const std::shared_ptr<Connection> connection = connections_.begin()->second;
    connection->close();
  }
}

// Well before the host does: a request that crosses with its closing would end as a reset, which an unsafe
// request does not survive.
Time Upstream::idleLimit() const { return std::max(limits_.idle * 7 / 10, Time{1}); }

void Upstream::setHost(const std::string& uid, const Endpoint& endpoint) {
  Pool& pool = pools_[uid];
  if (pool.endpoint != endpoint) closeIdle(pool);
  pool.endpoint = endpoint;
}

void Upstream::removeHost(const std::string& uid) {
  const auto it = pools_.find(uid);
  if (it == pools_.end()) return;
  closeIdle(it->second);
  pools_.erase(uid);
}

void Upstream::closeIdleTo(std::string_view uid) {
  const auto it = pools_.find(uid);
  if (it != pools_.end()) closeIdle(it->second);
}

bool Upstream::knows(std::string_view uid) const { return pools_.find(uid) != pools_.end(); }

void Upstream::start(AttemptId id, std::string_view uid, AttemptRequest request) {
  const auto it = pools_.find(uid);
  const bool fresh = request.unrepeatable && it != pools_.end() && it->second.broken_reuse > kMostBrokenReuse;
  Connection* connection = it == pools_.end() || fresh ? nullptr : takeIdle(it->second);
  if (connection == nullptr && it != pools_.end()) connection = open(it->first, it->second.endpoint);
  if (connection == nullptr) return sink_.onAttemptEnd(id, {});
  attempts_.emplace(id, connection);
  connection->startAttempt(id, std::move(request));
}

// A connection of its own: one that is kept may be dead without a sign of it (a machine that vanished), and
// the question is whether the host can be reached now.
void Upstream::probe(std::string_view uid) {
  const auto it = pools_.find(uid);
  Connection* connection = it == pools_.end() ? nullptr : open(it->first, it->second.endpoint);
  if (connection == nullptr) return sink_.onHealthCheckEnd(std::string(uid), false, 0, {});
  connection->startHealthCheck(std::string("GET ") + (limits_.health_check_load ? "/load" : "/healthz") +
                               " HTTP/1.1\r\nHost: api.internal\r\n\r\n");
}

void Upstream::giveUp(AttemptId id, Result as) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end()) it->second->giveUp(as);
}

bool Upstream::answering(AttemptId id) const {
  const auto it = attempts_.find(id);
  return it != attempts_.end() && it->second->answering();
}

Upstream::Connection* Upstream::takeIdle(Pool& pool) {
  const Time now = timers_.clock().now();
  while (!pool.idle.empty()) {
    const auto end = reusableEnd(pool);
    const auto chosen = end == pool.idle.begin() ? end : std::prev(end);
    Connection* const connection = *chosen;
    // The sweep may be late after a stall, and the host's end may lie unread in the socket.
    if (now - connection->idleSince() > idleLimit() || connection->stale()) {
      connection->close();
      continue;
    }
    pool.idle.erase(chosen);
    return connection;
  }
  return nullptr;
}

std::vector<Upstream::Connection*>::iterator Upstream::reusableEnd(Pool& pool) const {
  const Time now = timers_.clock().now();
  const auto reusable = [now](const Connection* connection) { return connection->reusableAt() <= now; };
  return std::partition_point(pool.idle.begin(), pool.idle.end(), reusable);
}

// Guards against hosts that end or reset kept connections while the next request is on its way, or send more
// than the answer on them: what can't be repeated then fails. It should catch whatever else makes a host's
// kept connections unsafe, and costs a handshake for a few requests after each such break; where breaks come
// from the network, that is spent for nothing.
void Upstream::noteReuse(const std::string& uid, bool broke) {
  const auto it = pools_.find(uid);
  if (it != pools_.end())
    it->second.broken_reuse += kReuseWeight * ((broke ? 1 : 0) - it->second.broken_reuse);
}

Upstream::Connection* Upstream::open(const std::string& uid, const Endpoint& endpoint) {
  if (!descriptors_.take(Side::Hosts)) return nullptr;
  const std::uint64_t id = next_connection_++;
  const auto connection = std::make_shared<Connection>(*this, id, uid, endpoint);
  connections_.emplace(id, connection);
  return connection.get();
}

void Upstream::keep(Connection& connection) {
  const auto it = pools_.find(connection.uid());
  // The host has moved or gone meanwhile.
  if (!keeps_ || it == pools_.end() || it->second.endpoint != connection.endpoint())
    return connection.close();
  it->second.idle.push_back(&connection);
}

void Upstream::forget(Connection& connection) {
  const auto it = pools_.find(connection.uid());
  if (it != pools_.end()) std::erase(it->second.idle, &connection);
}

void Upstream::closeIdle(Pool& pool) {
  while (!pool.idle.empty()) pool.idle.back()->close();
}

void Upstream::keepConnections(bool keep) {
  keeps_ = keep;
  if (keep) return;
  for (auto& [uid, pool] : pools_) closeIdle(pool);
}

bool Upstream::closeOneIdle() {
  Connection* oldest = nullptr;
  for (auto& [uid, pool] : pools_) {
    if (pool.idle.empty()) continue;
    if (oldest == nullptr || pool.idle.front()->idleSince() < oldest->idleSince()) oldest = pool.idle.front();
  }
  if (oldest == nullptr) return false;
  oldest->close();
  return true;
}

void Upstream::countBusy(const std::string& uid, bool busy) {
  const auto it = pools_.find(uid);
  if (it != pools_.end()) busy ? it->second.need.onBusy() : it->second.need.onIdle();
}

void Upstream::sweep() {
  const Time limit = timers_.clock().now() - idleLimit();
  for (auto& [uid, pool] : pools_) {
    while (!pool.idle.empty() && pool.idle.front()->idleSince() < limit) pool.idle.front()->close();
    pool.need.tick();
    while (pool.idle.size() > pool.need.worthKeeping()) pool.idle.front()->close();
  }
  timers_.after(kSweep, [this] { sweep(); });
}

}  // namespace client_proxy
