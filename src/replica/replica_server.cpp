#include "replica/replica_server.h"

#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <chrono>
#include <list>
#include <map>
#include <stdexcept>
#include <utility>

#include "distribution/codec.h"
#include "distribution/digest.h"
#include "replica/acknowledgements.h"
#include "replica/engine.h"
#include "replica/http_session.h"
#include "replica/peer_link.h"
#include "replica/watches.h"
#include "replica/wire.h"

namespace client_proxy::replica {

namespace asio = boost::asio;
using boost::system::error_code;
using distribution::CallError;
using distribution::CodecError;

namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
constexpr std::size_t kMaxAcknowledgementBytes = std::size_t{16} * 1024;
constexpr std::string_view kChangesPath = "/v1/changes/";

std::int64_t systemClock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text) {
  Number number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return number;
}

// Parses a query into names and values. No escapes are decoded: the parameters used here need none.
std::map<std::string, std::string> parseQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals_sign = pair.find('=');
    if (equals_sign != std::string_view::npos)
      values[std::string(pair.substr(0, equals_sign))] = pair.substr(equals_sign + 1);
  }
  return values;
}

HttpReply failure(unsigned status, std::string error, std::string detail = {}) {
  return {status, distribution::formatCallError({std::move(error), std::move(detail)})};
}

// ---- replies to a publish ----

HttpReply toReply(const distribution::Published& published) {
  return {200, distribution::formatPublished(published)};
}
HttpReply toReply(const distribution::Conflict& conflict) {
  return {409, distribution::formatConflict(conflict)};
}
HttpReply toReply(const consensus::PublishRefused& refused) {
  switch (refused.fault) {
    case consensus::PublishFault::IdReused:
      return failure(400, refused.detail);
    case consensus::PublishFault::Busy:
      return failure(503, "busy", refused.detail);
    case consensus::PublishFault::NoQuorum:
      break;
  }
  return failure(503, "no quorum", refused.detail);
}
HttpReply toReply(const DiskFailure& refused) {
  if (refused.fault == sqlite::Fault::Full) return failure(507, "disk full", refused.detail);
  return failure(503, std::string(nameOf(refused.fault)), refused.detail);
}

}  // namespace

class ReplicaServer::Impl : public HttpHandler {
 public:
  Impl(asio::io_context& io, Settings settings);
  ~Impl() override;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  asio::ip::tcp::endpoint localEndpoint() const { return acceptor_.local_endpoint(); }
  distribution::Status status();
  std::size_t watches() const { return watches_.count(); }
  void limitPagesForTests(int max_pages) { engine_.limitPagesForTests(max_pages); }

  // ---- HttpHandler ----

  std::optional<std::size_t> bodyLimit(const std::string& method, const std::string& path) override;
  void handle(HttpRequest request, ReplyCallback callback) override;
  std::optional<WatchRequest> parseWatchRequest(const HttpRequest& request) override;
  bool startWatch(asio::ip::tcp::socket socket, WatchRequest request) override {
    return watches_.add(std::move(socket), std::move(request));
  }

 private:
  struct Peer {
    std::unique_ptr<PeerLink> link;
    std::optional<std::int64_t> clock_ms_apart;
    bool clock_skew_reported = false;
  };

  static consensus::Rules rulesOf(const Settings& settings);
  Engine::Callbacks engineCallbacks();
  Watches::Source watchSource();
  void listen();
  void accept();
  void retryAccept();
  void checkClock(distribution::ReplicaId from, Peer& peer, std::int64_t wall_ms);
  std::vector<std::string> faults();

  void publish(const std::string& body, const ReplyCallback& callback);
  HttpReply acknowledge(const std::string& body);
  HttpReply receive(const std::string& body);
  void readChange(std::string_view number, const ReplyCallback& callback);

  asio::io_context& io_;
  const Settings settings_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  Acknowledgements acknowledgements_;
  std::map<distribution::ReplicaId, Peer> peers_;
  Engine engine_;
  const consensus::Time started_ = engine_.now();
  Watches watches_;
  std::list<std::weak_ptr<HttpSession>> sessions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

ReplicaServer::Impl::Impl(asio::io_context& io, Settings settings)
    : io_(io),
      settings_([&] {
        if (!settings.wall_clock) settings.wall_clock = systemClock;
        return std::move(settings);
      }()),
      acceptor_(io),
      accept_retry_timer_(io),
      peers_([&] {
        std::map<distribution::ReplicaId, Peer> peers;
        for (const PeerSettings& peer : settings_.peers)
          peers[peer.id].link =
              std::make_unique<PeerLink>(io, peer.endpoint, settings_.id, peer.id, settings_.wall_clock);
        return peers;
      }()),
      engine_(io, settings_.folder, rulesOf(settings_), engineCallbacks()),
      watches_(io, settings_.id, settings_.slow_subscriber_timeout, watchSource()) {
  listen();
  accept();
}

consensus::Rules ReplicaServer::Impl::rulesOf(const Settings& settings) {
  consensus::Rules rules = settings.rules;
  rules.self = settings.id;
  for (const PeerSettings& peer : settings.peers) rules.others.push_back(peer.id);
  return rules;
}

Engine::Callbacks ReplicaServer::Impl::engineCallbacks() {
  return {.send =
              [this](distribution::ReplicaId to, consensus::Message message) {
                if (const auto peer = peers_.find(to); peer != peers_.end())
                  peer->second.link->send(std::move(message));
              },
          .chosen = [this](const distribution::Change&) { watches_.onChange(); },
          .log = settings_.log};
}

Watches::Source ReplicaServer::Impl::watchSource() {
  return {
      .newest = [this] { return engine_.newest(); },
      .recent = [this](distribution::Version version) { return engine_.recent(version); },
      .quorum =
          [this] { return engine_.quorum() || engine_.now() - started_ < settings_.rules.contact_timeout; },
      .connection =
          [this](distribution::MemberId member, bool connected) {
            if (connected) return acknowledgements_.connected(engine_.now(), member);
            acknowledgements_.disconnected(engine_.now(), member);
          }};
}

// ---- connections ----

void ReplicaServer::Impl::listen() {
  const auto& endpoint = settings_.listen;
  error_code ec;
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (!ec) acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), ec);
  if (ec)
    throw std::runtime_error("can't listen at " + endpoint.address().to_string() + ":" +
                             std::to_string(endpoint.port()) + ": " + ec.message());
}

void ReplicaServer::Impl::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code ec, asio::ip::tcp::socket socket) {
    if (!*alive) return;
    if (ec == asio::error::connection_aborted) return accept();
    if (ec) return retryAccept();
    sessions_.remove_if([](const auto& session) { return session.expired(); });
    if (sessions_.size() < kMaxSessions) {
      const auto session = std::make_shared<HttpSession>(std::move(socket), *this);
      sessions_.push_back(session);
      session->start();
    }
    accept();
  });
}

void ReplicaServer::Impl::retryAccept() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this, alive = alive_](error_code ec) {
    if (!ec && *alive) accept();
  });
}

ReplicaServer::Impl::~Impl() {
  *alive_ = false;
  for (const auto& weak : sessions_) {
    if (const auto session = weak.lock()) session->close();
  }
}

// ---- requests ----

std::optional<std::size_t> ReplicaServer::Impl::bodyLimit(const std::string& method,
                                                          const std::string& path) {
  if (method == "GET") {
    const bool known =
        path == "/v1/configuration" || path == "/v1/status" || path.rfind(kChangesPath, 0) == 0;
    return known ? std::optional<std::size_t>(0) : std::nullopt;
  }
  if (method != "POST") return std::nullopt;
  if (path == "/v1/acknowledgements") return kMaxAcknowledgementBytes;
  if (path == "/v1/publish") return distribution::kMaxBodyBytes;
  if (path == "/v1/replica") return kMaxPeerBodyBytes;
  return std::nullopt;
}

void ReplicaServer::Impl::handle(HttpRequest request, ReplyCallback callback) {
  try {
    if (request.path == "/v1/status") return callback({200, distribution::formatStatus(status())});
    if (request.path == "/v1/acknowledgements") return callback(acknowledge(request.body));
    if (request.path == "/v1/publish") return publish(request.body, callback);
    if (request.path == "/v1/replica") return callback(receive(request.body));
    if (request.path.rfind(kChangesPath, 0) == 0)
      return readChange(std::string_view(request.path).substr(kChangesPath.size()), callback);
    callback(failure(400, "watch=1 is missing, or from or digest can't be read"));
  } catch (const CodecError& e) {
    callback(failure(400, e.what()));
  }
}

std::optional<WatchRequest> ReplicaServer::Impl::parseWatchRequest(const HttpRequest& request) {
  if (request.path != "/v1/configuration") return std::nullopt;
  const auto query = parseQuery(request.query);
  const auto value = [&](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  if (value("watch") != "1") return std::nullopt;
  WatchRequest watch;
  const auto from = parseNumber<distribution::Version>(value("from"));
  if (!from && query.count("from") > 0) return std::nullopt;
  watch.from = from.value_or(0);
  watch.digest = value("digest");
  if (!watch.digest.empty() && !distribution::isHexDigest(watch.digest)) return std::nullopt;
  watch.member = parseNumber<distribution::MemberId>(value("member"));
  if (!watch.member && query.count("member") > 0) return std::nullopt;
  return watch;
}

void ReplicaServer::Impl::publish(const std::string& body, const ReplyCallback& callback) {
  auto request = distribution::parsePublishRequest(body);
  engine_.publish(std::move(request), settings_.wall_clock(), [callback](PublishReply reply) {
    callback(std::visit([](const auto& one) { return toReply(one); }, reply));
  });
}

HttpReply ReplicaServer::Impl::acknowledge(const std::string& body) {
  acknowledgements_.record(engine_.now(), distribution::parseAcknowledgement(body));
  return {204, {}};
}

HttpReply ReplicaServer::Impl::receive(const std::string& body) {
  Envelope envelope = parseEnvelope(body);
  const auto peer = peers_.find(envelope.from);
  if (envelope.to != settings_.id || peer == peers_.end())
    return failure(400, "replica " + std::to_string(envelope.from) + " takes this one for replica " +
                            std::to_string(envelope.to) + "; this is replica " +
                            std::to_string(settings_.id));
  checkClock(envelope.from, peer->second, envelope.wall_ms);
  for (const consensus::Message& message : envelope.messages) engine_.receive(envelope.from, message);
  return {204, {}};
}

void ReplicaServer::Impl::readChange(std::string_view number, const ReplyCallback& callback) {
  const auto version = parseNumber<distribution::Version>(number);
  if (!version) return callback(failure(400, "the version is not a number"));
  engine_.read(*version, [callback](std::optional<distribution::Change> change) {
    callback(change ? HttpReply{200, distribution::formatChange(*change)}
                    : failure(404, "no such version, or not kept any more"));
  });
}

// ---- status ----

void ReplicaServer::Impl::checkClock(distribution::ReplicaId from, Peer& peer, std::int64_t wall_ms) {
  peer.clock_ms_apart = wall_ms - settings_.wall_clock();
  const bool skewed = std::abs(*peer.clock_ms_apart) > kMaxClockSkewMs;
  if (skewed && !peer.clock_skew_reported)
    settings_.log("clock: replica " + std::to_string(from) + " differs by " +
                  std::to_string(*peer.clock_ms_apart) + " ms from this replica");
  peer.clock_skew_reported = skewed;
}

std::vector<std::string> ReplicaServer::Impl::faults() {
  std::vector<std::string> faults;
  const auto add = [&](const std::string& fault) {
    faults.push_back(fault.substr(0, distribution::kMaxErrorBytes));
  };
  if (engine_.diskFault()) add(engine_.diskFault()->detail);
  if (const consensus::Node* const node = engine_.node(); node != nullptr) {
    const std::string votes = node->joined()
                                  ? "; it votes from version " + std::to_string(node->firstVote()) + " on"
                                  : "; it does not vote yet";
    if (!node->fault().empty()) add(node->fault() + votes);
  }
  for (const auto& [id, peer] : peers_) {
    if (peer.clock_skew_reported)
      add("clock: replica " + std::to_string(id) + " differs by " + std::to_string(*peer.clock_ms_apart) +
          " ms from this replica");
  }
  return faults;
}

distribution::Status ReplicaServer::Impl::status() {
  const consensus::Time now = engine_.now();
  const distribution::Change* const newest = engine_.newest();
  distribution::Status status;
  status.replica = settings_.id;
  status.region = settings_.region;
  status.version = newest != nullptr ? newest->version : 0;
  status.digest = newest != nullptr ? newest->digest : distribution::digestOf({});
  status.start_count = engine_.startCount();
  status.faults = faults();
  status.quorum = engine_.quorum();
  for (const auto& [id, peer] : peers_) {
    distribution::PeerStatus peer_status;
    peer_status.replica = id;
    peer_status.clock_ms_apart = peer.clock_ms_apart;
    if (engine_.node() != nullptr) {
      const consensus::Node::Peer& node_peer = engine_.node()->peers().at(id);
      if (node_peer.last_contact) peer_status.heard_ms_ago = (now - *node_peer.last_contact).count();
      peer_status.reachable =
          node_peer.last_contact && now - *node_peer.last_contact <= settings_.rules.contact_timeout;
      peer_status.version = node_peer.version;
    }
    status.peers.push_back(peer_status);
  }
  status.members = acknowledgements_.status(now);
  return status;
}

// ---- the server ----

ReplicaServer::ReplicaServer(asio::io_context& io, Settings settings)
    : impl_(std::make_unique<Impl>(io, std::move(settings))) {}

ReplicaServer::~ReplicaServer() = default;

asio::ip::tcp::endpoint ReplicaServer::localEndpoint() const { return impl_->localEndpoint(); }
distribution::Status ReplicaServer::status() const { return impl_->status(); }
std::size_t ReplicaServer::watches() const { return impl_->watches(); }
void ReplicaServer::limitPagesForTests(int max_pages) { impl_->limitPagesForTests(max_pages); }

}  // namespace client_proxy::replica
