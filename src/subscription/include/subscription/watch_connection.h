// The connection of one watch on one replica: a request whose response is a stream of lines in chunked
// encoding (RFC 9112, 7.1).
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

/// Traffic of a subscription: payload bytes of its TCP connections and acknowledgement requests.
struct Traffic {
  std::uint64_t bytes_in = 0, bytes_out = 0;
  std::uint64_t acknowledgements = 0;  ///< requests sent
};

/// Receives the events of a WatchConnection.
class WatchHandler {
 public:
  virtual ~WatchHandler() = default;
  /// The connection is established and the request is being sent.
  virtual void onConnected(WatchId watch) = 0;
  /// A complete, parsed line was received.
  virtual void onLine(WatchId watch, distribution::WatchLine line) = 0;
  /// The watch has failed or ended; `reason` is for the log. Called at most once, as the last event.
  virtual void onLost(WatchId watch, const std::string& reason) = 0;
};

/// Sends the watch request and delivers the lines of the response to its handler.
class WatchConnection final : public std::enable_shared_from_this<WatchConnection> {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// `handler` and `traffic` must live until stop().
  WatchConnection(boost::asio::io_context& io, WatchHandler& handler, Traffic& traffic, WatchId id);

  /// Connects and requests `target` (path and query). The caller enforces time limits.
  void start(const Endpoint& replica, const std::string& target);
  /// Closes the connection; the handler is not called after this.
  void stop();

 private:
  void read();
  void parse();
  bool deliverLines();  // false: the watch has failed or was stopped
  bool deliver(std::string_view line);
  void fail(const std::string& reason);

  WatchHandler* handler_;  // null after stop()
  Traffic& traffic_;
  const WatchId id_;
  boost::asio::ip::tcp::socket socket_;
  std::string request_;
  ReadBuffer in_;
  ResponseParser parser_{std::nullopt};
};

}  // namespace client_proxy::subscription
