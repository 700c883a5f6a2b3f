#include "cli/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <utility>

namespace client_proxy {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// A replica's status names every proxy of the fleet; a change holds a text of up to 1 MiB, escaped.
constexpr std::uint64_t kLongestBody = 16ULL * 1024 * 1024;

}  // namespace

HttpAnswer callOnce(const boost::asio::ip::tcp::endpoint& server, const HttpCall& call) {
  boost::asio::io_context io;
  beast::tcp_stream stream(io);
  http::request<http::string_body> request(call.method, call.target, 11);
  request.set(http::field::host, server.address().to_string());
  if (!call.body.empty()) request.set(http::field::content_type, "application/json");
  request.body() = call.body;
  request.prepare_payload();
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> response;
  response.body_limit(kLongestBody);
  HttpAnswer answer;
  stream.expires_after(call.time_limit);
  stream.async_connect(server, [&](error_code connected) {
    if ((answer.error = connected)) return;
    http::async_write(stream, request, [&](error_code written, std::size_t) {
      if ((answer.error = written)) return;
      http::async_read(stream, buffer, response, [&](error_code read, std::size_t) {
        answer.error = read;
        answer.status = response.get().result_int();
        answer.body = std::move(response.get().body());
      });
    });
  });
  io.run();
  return answer;
}

}  // namespace client_proxy
