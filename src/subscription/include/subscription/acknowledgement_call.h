// One POST of an acknowledgement to a replica, on a connection of its own.
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

class AcknowledgementCall final : public std::enable_shared_from_this<AcknowledgementCall> {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// `delivered`: the replica has it.
  using Done = std::function<void(bool delivered)>;

  /// `traffic` must live until `done` or stop().
  AcknowledgementCall(boost::asio::io_context& io, Traffic& traffic, Done done);
  void start(const Endpoint& replica, const std::string& body);
  /// Without an answer; `done` is not called any more.
  void stop();

 private:
  void read();
  void end(bool delivered);

  Traffic& traffic_;
  Done done_;  // empty: it is over
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string request_;
  ReadBuffer in_;
  ResponseParser parser_;
};

}  // namespace client_proxy::subscription
