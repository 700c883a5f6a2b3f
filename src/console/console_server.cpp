#include "console/console_server.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "net/socket_io.h"

namespace client_proxy::console {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::chrono::seconds kTime{6};  // for a call to come, and for its answer to be taken
constexpr std::chrono::milliseconds kAgain{20};
constexpr std::uint32_t kMostHead = 8192;
constexpr std::uint64_t kMostBody = 4096;  // calls need none; what comes is taken and forgotten

int statusOf(error_code ec) {
  if (ec == http::error::body_limit) return 413;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) return 431;
  return 400;
}

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

class ConsoleServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, ConsoleServer& server)
      : stream_(std::move(socket)),
        server_(&server),
        buffer_(kMostHead + kMostBody),
        write_limit_(stream_.get_executor()) {
    parser_.header_limit(kMostHead);
    parser_.body_limit(kMostBody);
  }
  ~Session() {
    if (server_ != nullptr) server_->sessions_.erase(place);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void start() {
    stream_.expires_after(kTime);
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->server_ == nullptr || ec == http::error::end_of_stream || ec == beast::error::timeout ||
          ec == asio::error::eof || ec == asio::error::operation_aborted)
        return;
      self->answer(ec);
    });
  }
  bool mute() const { return !answering_; }
  void close() {
    error_code ignored;
    stream_.socket().close(ignored);
  }
  void forgetServer() { server_ = nullptr; }

  Sessions::iterator place{};

 private:
  void answer(error_code ec) {
    answering_ = true;
    const auto& request = parser_.get();
    const bool head_only = !ec && request.method() == http::verb::head;
    Read read{.status = statusOf(ec)};
    if (!ec) read = readCall(view(request.method_string()), view(request.target()));
    Reply reply = server_->carryOut(read);
    answer_.result(static_cast<unsigned>(reply.status));
    answer_.keep_alive(false);
    answer_.set(http::field::cache_control, "no-store");
    if (!reply.type.empty()) answer_.set(http::field::content_type, reply.type);
    if (!reply.allow.empty()) answer_.set(http::field::allow, std::string(reply.allow));
    answer_.body() = std::move(reply.body);
    answer_.prepare_payload();
    if (head_only) answer_.body().clear();
    std::ostringstream text;
    text << answer_;
    out_ = text.str();
    write();
  }
  void write() {
    error_code ignored;
    stream_.socket().non_blocking(true, ignored);
    write_limit_.expires_after(kTime);
    write_limit_.async_wait([weak = weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) self->close();
    });
    writeWhole(stream_.socket(), asio::buffer(out_), [self = shared_from_this()](error_code) {
      self->write_limit_.cancel();
      error_code failed;
      self->stream_.socket().shutdown(asio::socket_base::shutdown_send, failed);
    });
  }

  beast::tcp_stream stream_;
  ConsoleServer* server_;  // null: it is gone
  beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> answer_;
  std::string out_;  // the answer as it is written
  asio::steady_timer write_limit_;
  bool answering_ = false;
};

ConsoleServer::ConsoleServer(asio::io_context& io, Actor& actor) : io_(io), again_(io), actor_(actor) {}

ConsoleServer::~ConsoleServer() {
  for (const auto& weak : sessions_) {
    if (const auto session = weak.lock()) session->forgetServer();
  }
}

void ConsoleServer::listen(const Endpoint& at) {
  asio::ip::tcp::acceptor listener(io_);
  error_code ec;
  listener.open(at.protocol(), ec);
  if (!ec) listener.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) listener.bind(at, ec);
  if (!ec) listener.listen(256, ec);
  if (!ec) listener.set_option(asio::socket_base::enable_connection_aborted(true), ec);
  if (ec)
    throw std::runtime_error("can't listen at " + at.address().to_string() + ":" + std::to_string(at.port()) +
                             ": " + ec.message());
  listeners_.push_back(std::move(listener));
  accept(listeners_.size() - 1);
}

ConsoleServer::Endpoint ConsoleServer::localEndpoint(std::size_t n) const {
  return listeners_.at(n).local_endpoint();
}

void ConsoleServer::accept(std::size_t listener) {
  listeners_[listener].async_accept([this, listener](error_code ec, asio::ip::tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec == asio::error::connection_aborted) return accept(listener);
    if (ec) return acceptLater(listener);
    makeRoom();
    const auto session = std::make_shared<Session>(std::move(socket), *this);
    sessions_.push_back(session);
    session->place = std::prev(sessions_.end());
    session->start();
    accept(listener);
  });
}

// The system has no descriptor: trying on at once would spin.
void ConsoleServer::acceptLater(std::size_t listener) {
  again_.expires_after(kAgain);
  again_.async_wait([this, listener](error_code ec) {
    if (!ec) accept(listener);
  });
}

// Guards against callers that connect and say nothing while others call. One whose answer is on its way is
// only closed where all are.
void ConsoleServer::makeRoom() {
  if (sessions_.size() < kMostConnections) return;
  std::shared_ptr<Session> victim;
  for (const auto& weak : sessions_) {
    const auto session = weak.lock();
    if (!session) continue;
    if (session->mute()) return session->close();
    if (!victim) victim = session;
  }
  if (victim) victim->close();
}

ConsoleServer::Reply ConsoleServer::carryOut(const Read& read) {
  static constexpr const char* kText = "text/plain; charset=utf-8";
  const auto said = [](bool yes, int no, std::string what) {
    return Reply{.status = yes ? 200 : no, .body = std::move(what) + "\n", .type = kText};
  };
  switch (read.call) {
    case Call::None:
      return {.status = read.status, .allow = read.allow};
    case Call::Healthcheck: {
      const bool yes = actor_.canServe();
      return said(yes, 503, yes ? "serving" : "not serving yet");
    }
    case Call::Stats:
      return {.body = actor_.stats(), .type = "text/plain; version=0.0.4; charset=utf-8"};
    case Call::Maint: {
      const bool yes = actor_.takeOut(read.host);
      return said(yes, 404, (yes ? "out of use: " : "no host has this id: ") + read.host);
    }
    case Call::Ready: {
      const bool yes = actor_.putBack(read.host);
      return said(yes, 404, (yes ? "in use: " : "no host has this id: ") + read.host);
    }
    case Call::Fail:
      actor_.drainClients();
      return said(true, 500, "draining");
    case Call::Ok:
      actor_.takeClients();
      return said(true, 500, "taking clients");
    case Call::Rehearse: {
      const std::optional<std::string> fault = actor_.beginChangePreview();
      return said(!fault, 409, fault.value_or("begun"));
    }
    case Call::Give: {
      const std::optional<std::string> overridden = actor_.overrideOwner(read.service, read.zone);
      return said(overridden.has_value(), 404,
                  overridden ? "given: " + *overridden : "no such service or zone");
    }
    case Call::Page:
      break;
  }
  const auto page = pages_.find(read.page);
  if (page == pages_.end()) return {.status = 404};
  if (read.status != 200) return {.status = read.status, .allow = read.allow};
  return {.body = page->second() + "\n", .type = "application/json"};
}

}  // namespace client_proxy::console
