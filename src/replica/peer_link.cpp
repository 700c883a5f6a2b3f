#include "replica/peer_link.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace client_proxy::replica {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxAnswer = 4096;
constexpr std::size_t kBytesPerSecond = std::size_t{1} << 20;

std::size_t textBytesOf(const consensus::Message& message) {
  if (const auto* promise = std::get_if<consensus::Promise>(&message))
    return promise->value ? promise->value->text.size() : 0;
  if (const auto* accept = std::get_if<consensus::Accept>(&message)) return accept->value.text.size();
  if (const auto* chosen = std::get_if<consensus::Chosen>(&message)) return chosen->change.text.size();
  if (const auto* reply = std::get_if<consensus::HelloReply>(&message))
    return reply->vote.value ? reply->vote.value->text.size() : 0;
  return 0;
}

}  // namespace

// One connection; it carries one call at a time.
class PeerLink::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, PeerLink& link) : link_(&link), stream_(io) {}

  bool idle() const { return !calling_; }
  void forgetLink() {
    link_ = nullptr;
    stream_.close();
  }

  void call(std::string body) {
    calling_ = true;
    request_ = {http::verb::post, "/v1/replica", 11};
    request_.set(http::field::host, link_->peer_.address().to_string());
    request_.set(http::field::content_type, "application/json");
    const std::chrono::seconds more(body.size() / kBytesPerSecond);
    request_.body() = std::move(body);
    request_.prepare_payload();
    stream_.expires_after(kTime + more);
    if (connected_) return write();
    stream_.async_connect(link_->peer_, [self = shared_from_this()](error_code ec) {
      if (ec) return self->end();
      error_code ignored;
      self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      self->connected_ = true;
      self->write();
    });
  }

 private:
  void write() {
    http::async_write(stream_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec) return self->end();
      self->read();
    });
  }
  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxAnswer);
    http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec || !self->parser_->get().keep_alive()) return self->end();
      self->calling_ = false;
      self->stream_.expires_never();
      if (self->link_ != nullptr) self->link_->sendWhatWaits();
    });
  }
  void end() {
    stream_.close();
    if (link_ == nullptr) return;
    PeerLink& link = *std::exchange(link_, nullptr);
    link.connection_.reset();
  }

  PeerLink* link_;  // null: this connection has ended
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool connected_ = false, calling_ = false;
};

PeerLink::PeerLink(asio::io_context& io, Endpoint peer, distribution::ReplicaId self,
                   distribution::ReplicaId to, WallClock wall_clock)
    : io_(io), peer_(std::move(peer)), self_(self), to_(to), wall_clock_(std::move(wall_clock)) {}

PeerLink::~PeerLink() {
  if (connection_) connection_->forgetLink();
}

void PeerLink::send(consensus::Message message) {
  waiting_.push_back(std::move(message));
  if (waiting_.size() > kMaxWaiting) waiting_.pop_front();
  sendWhatWaits();
}

void PeerLink::sendWhatWaits() {
  if (waiting_.empty() || (connection_ && !connection_->idle())) return;
  if (!connection_) connection_ = std::make_shared<Connection>(io_, *this);
  Envelope envelope{self_, to_, wall_clock_(), takeTogether()};
  connection_->call(formatEnvelope(envelope));
}

// As many as one body may hold.
std::vector<consensus::Message> PeerLink::takeTogether() {
  std::vector<consensus::Message> together;
  std::size_t bytes = 0;
  while (!waiting_.empty() && together.size() < kMaxPeerMessages) {
    bytes += textBytesOf(waiting_.front());
    if (!together.empty() && bytes > distribution::kMaxTextBytes) break;
    together.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  return together;
}

}  // namespace client_proxy::replica
