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

constexpr std::uint64_t kMaxResponseBytes = 4096;
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

// One connection; it carries one request at a time.
class PeerLink::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, PeerLink& link) : link_(&link), stream_(io) {}

  bool idle() const { return !call_in_progress_; }
  void detach() {
    link_ = nullptr;
    stream_.close();
  }

  void call(std::string body) {
    call_in_progress_ = true;
    request_ = {http::verb::post, "/v1/replica", 11};
    request_.set(http::field::host, link_->peer_.address().to_string());
    request_.set(http::field::content_type, "application/json");
    const std::chrono::seconds extra_time(body.size() / kBytesPerSecond);
    request_.body() = std::move(body);
    request_.prepare_payload();
    stream_.expires_after(kCallTimeout + extra_time);
    if (connected_) return write();
    stream_.async_connect(link_->peer_, [self = shared_from_this()](error_code ec) {
      if (ec) return self->close();
      error_code ignored;
      self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      self->connected_ = true;
      self->write();
    });
  }

 private:
  void write() {
    http::async_write(stream_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec) return self->close();
      self->read();
    });
  }
  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxResponseBytes);
    http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec || !self->parser_->get().keep_alive()) return self->close();
      self->call_in_progress_ = false;
      self->stream_.expires_never();
      if (self->link_ != nullptr) self->link_->sendQueued();
    });
  }
  void close() {
    stream_.close();
    if (link_ == nullptr) return;
    PeerLink& link = *std::exchange(link_, nullptr);
    link.connection_.reset();
  }

  PeerLink* link_;  // null: detached from the link, or closed
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool connected_ = false, call_in_progress_ = false;
};

PeerLink::PeerLink(asio::io_context& io, Endpoint peer, distribution::ReplicaId self,
                   distribution::ReplicaId to, WallClock wall_clock)
    : io_(io), peer_(std::move(peer)), self_(self), to_(to), wall_clock_(std::move(wall_clock)) {}

PeerLink::~PeerLink() {
  if (connection_) connection_->detach();
}

void PeerLink::send(consensus::Message message) {
  queue_.push_back(std::move(message));
  if (queue_.size() > kMaxQueued) queue_.pop_front();
  sendQueued();
}

void PeerLink::sendQueued() {
  if (queue_.empty() || (connection_ && !connection_->idle())) return;
  if (!connection_) connection_ = std::make_shared<Connection>(io_, *this);
  Envelope envelope{self_, to_, wall_clock_(), takeBatch()};
  connection_->call(formatEnvelope(envelope));
}

// Removes from the queue as many messages as fit into one request body.
std::vector<consensus::Message> PeerLink::takeBatch() {
  std::vector<consensus::Message> batch;
  std::size_t bytes = 0;
  while (!queue_.empty() && batch.size() < kMaxPeerMessages) {
    bytes += textBytesOf(queue_.front());
    if (!batch.empty() && bytes > distribution::kMaxTextBytes) break;
    batch.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  return batch;
}

}  // namespace client_proxy::replica
