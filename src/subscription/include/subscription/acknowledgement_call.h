// Sends one acknowledgement to a replica as a POST request on a separate connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/http.h"
#include "subscription/watch_connection.h"

namespace client_proxy::subscription {

/// A single acknowledgement request with a time limit of 3 s.
class AcknowledgementCall final : public std::enable_shared_from_this<AcknowledgementCall> {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// `delivered`: the replica has answered with a 2xx status.
  using Done = std::function<void(bool delivered)>;

  /// `traffic` must live until `done` is called or stop().
  AcknowledgementCall(boost::asio::io_context& io, Traffic& traffic, Done done);
  /// Connects and posts `body`, a JSON document.
  void start(const Endpoint& replica, const std::string& body);
  /// Aborts the request; `done` is not called after this.
  void stop();

 private:
  void read();
  void finish(bool delivered);

  Traffic& traffic_;
  Done done_;  // empty once the request has ended
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string request_;
  ReadBuffer in_;
  ResponseParser parser_;
};

}  // namespace client_proxy::subscription
