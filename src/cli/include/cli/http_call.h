// One HTTP/1.1 call on a connection of its own, for the commands that ask a running process.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <string>

namespace client_proxy {

struct HttpAnswer {
  boost::system::error_code error;  // set: nobody answered in time, or not in HTTP
  unsigned status = 0;
  std::string body;

  bool ok() const { return !error && status / 100 == 2; }
};

struct HttpCall {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target;
  std::string body;                            // sent as application/json where it is not empty
  std::chrono::milliseconds time_limit{3000};  // for connecting, sending and the whole answer
};

// Blocks until the answer is there, or the time limit has passed.
HttpAnswer callOnce(const boost::asio::ip::tcp::endpoint& server, const HttpCall& call);

}  // namespace client_proxy
