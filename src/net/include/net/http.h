// HTTP/1.1 messages as the client proxy needs them, on Boost.Beast's parser. Only what is looked at is kept:
// one text of header lines to pass on instead of an allocation for each field.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "net/clock.h"

namespace client_proxy {

namespace http = boost::beast::http;
using Text = boost::beast::string_view;

constexpr std::size_t kMostHead = std::size_t{16} * 1024;
constexpr std::uint64_t kMostBody = std::uint64_t{64} * 1024;  // held whole, so that it can be sent again
constexpr std::size_t kBodyPiece = std::size_t{16} * 1024;     // by which the buffer of a body grows
constexpr std::uint64_t kMostLong =
    std::uint64_t{40} * 1024 * 1024;  // passed on as it comes; more is refused or spoilt

// Seconds with decimals ("0.480") as microseconds; nothing if it is not such a number.
std::optional<Time> parseSeconds(std::string_view text);
// Microseconds as seconds with decimals.
std::string formatSeconds(Time time);

// What stands before a chunk of so many bytes (RFC 9112, 7.1).
std::string chunkLine(std::size_t bytes);

struct RequestHead {
  std::string method, target;
  std::string forward;  // the header lines that go on to the host, each with its line end
  std::string correlation, account, time_left;
  bool has_time_left = false;
  std::string weight_hint;
  bool keyed = false;   // has an Idempotency-Key
  std::string key;      // it
  bool repeat = false;  // X-Repeat: 1: the client's own retry
  bool has_host = false;
  bool expects_continue = false;
  bool old_version = false;  // HTTP/1.0
  bool has_body = false;     // says that one follows
  bool ambiguous = false;    // says twice what can be said once: another reader might take the other value
  // The bytes that its texts hold.
  std::size_t memory() const;
};

// A request as it comes in. The body's bytes go to `body`; who feeds the parser bounds how fast.
class RequestParser final : public http::basic_parser<true> {
 public:
  RequestParser();
  RequestHead head;
  std::string body;

  // How many bytes of the body can be taken in without the buffer growing.
  std::size_t bodyRoom() const { return body.capacity() - body.size(); }
  // The capacity that the body's buffer needs for the next piece.
  std::size_t nextBodyCapacity() const;
  // The bytes that head and body hold.
  std::size_t memory() const { return head.memory() + body.capacity(); }

 private:
  void on_request_impl(http::verb, Text method, Text target, int version,
                       boost::beast::error_code& ec) override;
  void on_response_impl(int, Text, int, boost::beast::error_code&) override {}
  void on_field_impl(http::field name, Text name_text, Text value, boost::beast::error_code& ec) override;
  void on_header_impl(boost::beast::error_code& ec) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, boost::beast::error_code&) override;
  std::size_t on_body_impl(Text part, boost::beast::error_code&) override;
  void on_chunk_header_impl(std::uint64_t, Text, boost::beast::error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, Text part, boost::beast::error_code&) override;
  void on_finish_impl(boost::beast::error_code&) override {}
  void once(bool& seen);
  void removeHopFields();
  bool has_length_ = false, has_correlation_ = false;
  bool head_done_ = false;                     // what follows is a trailer
  std::unordered_set<std::string> hop_names_;  // named by Connection: for this hop only; in lower case
};

// A host's or discovery's answer. A host's body is bounded; discovery's goes on and is taken out in pieces.
class ResponseParser final : public http::basic_parser<false> {
 public:
  explicit ResponseParser(std::optional<std::uint64_t> most_body = kMostLong);
  int status = 0;
  bool unprocessed = false;  // X-Unprocessed: 1
  bool says_close = false;   // Connection: close
  std::string load;          // X-Backend-Load
  std::string term;          // X-Service-Term
  std::string content_type;
  std::string body;  // what came since it was last taken out

  // As of RequestParser.
  std::size_t bodyRoom() const { return body.capacity() - body.size(); }
  std::size_t nextBodyCapacity() const;

 private:
  bool head_done_ = false;
  void on_request_impl(http::verb, Text, Text, int, boost::beast::error_code&) override {}
  void on_response_impl(int code, Text, int, boost::beast::error_code& ec) override {
    status = code;
    if (code < 100) ec = http::error::bad_status;  // RFC 9110, 15: there is none such
  }
  void on_field_impl(http::field name, Text name_text, Text value, boost::beast::error_code&) override;
  void on_header_impl(boost::beast::error_code&) override { head_done_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, boost::beast::error_code&) override;
  std::size_t on_body_impl(Text part, boost::beast::error_code&) override;
  void on_chunk_header_impl(std::uint64_t, Text, boost::beast::error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, Text part, boost::beast::error_code&) override;
  void on_finish_impl(boost::beast::error_code&) override {}
};

// The bytes that were read and not yet parsed. It grows up to a bound while a head is incomplete.
class ReadBuffer {
 public:
  boost::asio::mutable_buffer space(std::size_t least);
  void commit(std::size_t bytes) { end_ += bytes; }
  void append(const char* bytes, std::size_t size);
  boost::asio::const_buffer data() const { return {bytes_.data() + begin_, end_ - begin_}; }
  std::size_t size() const { return end_ - begin_; }
  void consume(std::size_t bytes);
  void release();  // the memory too, where nothing is held
  void trim();     // the memory that is not needed for what is held
  std::size_t capacity() const { return bytes_.capacity(); }

 private:
  std::vector<char> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

}  // namespace client_proxy
