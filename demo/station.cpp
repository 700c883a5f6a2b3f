#include "station.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <thread>
#include <utility>

namespace client_proxy::demo {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kWork{5};

void serveConnection(tcp::socket socket, const std::string& name) {
  boost::beast::flat_buffer buffer;
  boost::system::error_code ec;
  for (;;) {
    http::request<http::string_body> request;
    http::read(socket, buffer, request, ec);
    if (ec) return;
    http::response<http::string_body> answer(http::status::ok, request.version());
    if (request.target() != "/healthz") {
      const std::string id(request["X-Correlation-Id"]);
      std::this_thread::sleep_for(kWork);
      std::printf("ran %s\n", id.c_str());
      std::fflush(stdout);
      answer.body() = name;
    }
    answer.keep_alive(request.keep_alive());
    answer.prepare_payload();
    http::write(socket, answer, ec);
    if (ec || !answer.keep_alive()) return;
  }
}

}  // namespace

void serveStation(const std::string& name, const tcp::endpoint& at) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, at);
  std::printf("ready\n");
  std::fflush(stdout);
  for (;;) {
    std::thread([socket = acceptor.accept(), name]() mutable {
      serveConnection(std::move(socket), name);
    }).detach();
  }
}

}  // namespace client_proxy::demo
