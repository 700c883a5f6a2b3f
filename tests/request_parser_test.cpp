// Tests RequestParser: what it passes on of a head, and at which cost.
#include <gtest/gtest.h>

#include <ctime>
#include <string>

#include "net/http.h"

namespace client_proxy {
namespace {

RequestHead parsed(const std::string& fields) {
  RequestParser parser;
  boost::beast::error_code ec;
  const std::string text = "GET /slot-status/7 HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
  parser.put(boost::asio::buffer(text), ec);
  EXPECT_FALSE(ec) << ec.message();
  EXPECT_TRUE(parser.is_header_done());
  return std::move(parser.head);
}

TEST(RequestParser, WhatConnectionNamesStaysBehindInWhateverOrderAndCase) {
  const RequestHead head =
      parsed("X-One: 1\r\nConnection: x-ONE, X-Three,close\r\nX-Two: 2\r\nx-three:\r\nX-One: 4\r\n");
  EXPECT_EQ(head.forward, "Host: h\r\nX-Two: 2\r\n");
}

// Guards against one client that holds up all others with heads of many names and fields: 48 ms of CPU each.
TEST(RequestParser, TheCostOfAHeadDoesNotGrowWithNamesTimesFields) {
  std::string fields = "Connection: a";
  for (int i = 0; i < 3500; ++i) fields += ",b";
  fields += "\r\n";
  for (int i = 0; i < 1100; ++i) fields += "c:1\r\n";
  constexpr int kHeads = 100;
#ifdef __SANITIZE_ADDRESS__
  constexpr double kMostSeconds = 0.01;  // for each: sanitizers make it slower
#else
  constexpr double kMostSeconds = 0.001;  // for each
#endif
  const auto cpu = [] {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
  };
  const double began = cpu();
  for (int i = 0; i < kHeads; ++i) EXPECT_EQ(parsed(fields).forward.size(), 1100U * 6 + 9);
  EXPECT_LE((cpu() - began) / kHeads, kMostSeconds);
}

}  // namespace
}  // namespace client_proxy
