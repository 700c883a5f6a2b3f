#include "status_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <stdexcept>

namespace quinceline {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::chrono::seconds kTime{2};  // for a request and its answer together
constexpr std::uint32_t kMostHead = 4096;

}  // namespace

// One connection carries one request: whoever asks does so now and then.
class StatusServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, const std::map<std::string, Page, std::less<>>& pages,
          std::shared_ptr<std::size_t> open)
      : stream_(std::move(socket)), pages_(pages), open_(std::move(open)) {
    ++*open_;
    parser_.header_limit(kMostHead);
    parser_.body_limit(0);
  }
  ~Session() { --*open_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void start() {
    stream_.expires_after(kTime);
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec == http::error::end_of_stream || ec == beast::error::timeout || ec == asio::error::eof) return;
      self->answer(ec);
    });
  }

 private:
  void answer(error_code ec) {
    const auto& request = parser_.get();
    const bool known = !ec && pages_.count(view(request.target())) > 0;
    const bool get = request.method() == http::verb::get || request.method() == http::verb::head;
    answer_.result(ec       ? http::status::bad_request
                   : !known ? http::status::not_found
                   : !get   ? http::status::method_not_allowed
                            : http::status::ok);
    answer_.keep_alive(false);
    answer_.set(http::field::cache_control, "no-store");
    if (answer_.result() == http::status::ok) {
      answer_.set(http::field::content_type, "application/json");
      answer_.body() = pages_.find(view(request.target()))->second() + "\n";
    } else if (answer_.result() == http::status::method_not_allowed) {
      answer_.set(http::field::allow, "GET, HEAD");
    }
    answer_.prepare_payload();
    if (!ec && request.method() == http::verb::head) answer_.body().clear();
    http::async_write(stream_, answer_, [self = shared_from_this()](error_code, std::size_t) {
      error_code ignored;
      self->stream_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    });
  }

  static std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

  beast::tcp_stream stream_;
  const std::map<std::string, Page, std::less<>>& pages_;
  std::shared_ptr<std::size_t> open_;
  beast::flat_buffer buffer_;
  http::request_parser<http::empty_body> parser_;
  http::response<http::string_body> answer_;
};

StatusServer::StatusServer(asio::io_context& io) : acceptor_(io) {}
StatusServer::~StatusServer() = default;

void StatusServer::listen(const asio::ip::tcp::endpoint& at) {
  if (!at.address().is_loopback())
    throw std::runtime_error(at.address().to_string() + " is not a loopback address");
  error_code ec;
  acceptor_.open(at.protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(at, ec);
  if (!ec) acceptor_.listen(64, ec);
  if (ec) throw std::runtime_error("can't listen there: " + ec.message());
  accept();
}

void StatusServer::accept() {
  acceptor_.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    // Beyond the bound it is closed at once: these connections have no place in the budget of descriptors.
    if (!ec && *open_ < kMostConnections)
      std::make_shared<Session>(std::move(socket), pages_, open_)->start();
    accept();
  });
}

}  // namespace quinceline
