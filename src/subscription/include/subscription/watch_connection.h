// One watch on one replica: a call whose answer is a stream of lines (chunked, RFC 9112, 7.1).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "distribution/types.h"
#include "net/http.h"
#include "subscription/subscription.h"

namespace client_proxy::subscription {

/// Bytes and calls of a subscription, without the headers of IP and TCP.
struct Traffic {
  std::uint64_t bytes_in = 0, bytes_out = 0;
  std::uint64_t acknowledgements = 0;  ///< calls
};

class WatchHandler {
 public:
  virtual ~WatchHandler() = default;
  virtual void onConnected(WatchId watch) = 0;
  virtual void onLine(WatchId watch, distribution::WatchLine line) = 0;
  /// Once, and nothing after it.
  virtual void onLost(WatchId watch, const std::string& why) = 0;
};

class WatchConnection final : public std::enable_shared_from_this<WatchConnection> {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// `handler` and `traffic` must live until stop().
  WatchConnection(boost::asio::io_context& io, WatchHandler& handler, Traffic& traffic, WatchId id);

  /// `target`: of the call. Time limits are the caller's.
  void start(const Endpoint& replica, const std::string& target);
  /// Closes the connection; the handler hears nothing more.
  void stop();

 private:
  void read();
  void parse();
  bool deliverLines();  // false: this watch is over
  bool deliver(std::string_view line);
  void fail(const std::string& why);

  WatchHandler* handler_;  // null: stopped
  Traffic& traffic_;
  const WatchId id_;
  boost::asio::ip::tcp::socket socket_;
  std::string request_;
  ReadBuffer in_;
  ResponseParser parser_{std::nullopt};
};

}  // namespace client_proxy::subscription
