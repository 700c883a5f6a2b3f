#include "net/http.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace client_proxy {
namespace {

using boost::beast::iequals;

constexpr std::size_t kSmallBody = 2048;  // bytes
constexpr std::size_t kSpareHead = 1024;  // bytes that the fields of a head may hold beyond their size

std::string_view view(Text text) { return {text.data(), text.size()}; }

std::string lowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) c = boost::beast::detail::ascii_tolower(c);
  return lower;
}

// Headers that concern one connection, or that the client proxy writes itself.
bool forThisHop(http::field name) {
  switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::content_length:
      return true;
    default:
      return false;
  }
}

// RFC 9112, 3.2.2: a server takes the absolute form, although only proxies are sent it. What goes on is the
// origin form.
std::string originForm(std::string_view target) {
  static constexpr std::string_view kScheme = "http://";
  if (!iequals(Text(target.data(), std::min(target.size(), kScheme.size())),
               Text(kScheme.data(), kScheme.size())))
    return std::string(target);
  target.remove_prefix(kScheme.size());
  const std::size_t path = std::min(target.find_first_of("/?#"), target.size());
  std::string origin(target.substr(path));
  if (origin.empty() || origin.front() != '/') origin.insert(origin.begin(), '/');
  return origin;
}

}  // namespace

std::optional<Time> parseSeconds(std::string_view text) {
  double seconds = 0;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
  if (r.ec != std::errc{} || r.ptr != text.data() + text.size() || !std::isfinite(seconds) ||
      std::abs(seconds) > 1e9) {
    return std::nullopt;
  }
  return static_cast<Time>(std::llround(seconds * 1e6));
}

std::string formatSeconds(Time time) {
  std::array<char, 40> text;
  const int n = std::snprintf(text.data(), text.size(), "%lld.%06lld", static_cast<long long>(time / kSecond),
                              static_cast<long long>(time % kSecond));
  return {text.data(), static_cast<std::size_t>(n)};
}

namespace {

// What a body's buffer needs for the next piece; `length`: of the whole body, where it is known. A longer one
// is passed on in pieces, so that its buffer holds one piece more than the longest that is held.
std::size_t nextCapacity(const std::string& body, const boost::optional<std::uint64_t>& length) {
  const std::size_t next = body.size() + kBodyPiece;
  return length && *length > body.size() && *length < next ? static_cast<std::size_t>(*length) : next;
}

}  // namespace

std::string chunkLine(std::size_t bytes) {
  std::array<char, 24> text;
  const int n = std::snprintf(text.data(), text.size(), "%zx\r\n", bytes);
  return {text.data(), static_cast<std::size_t>(n)};
}

// ---- requests ----

std::size_t RequestHead::memory() const {
  std::size_t bytes = 0;
  for (const std::string* text :
       {&method, &target, &forward, &correlation, &account, &time_left, &weight_hint, &key})
    bytes += text->capacity();
  return bytes;
}

RequestParser::RequestParser() {
  header_limit(static_cast<std::uint32_t>(kMostHead));
  body_limit(kMostLong);
}

void RequestParser::on_request_impl(http::verb, Text method, Text target, int version,
                                    boost::beast::error_code& ec) {
  if (version != 10 && version != 11) {
    ec = http::error::bad_version;
    return;
  }
  head.method = view(method);
  head.target = originForm(view(target));
  head.old_version = version == 10;
  head.forward.reserve(384);
}

// Guards against requests that read one way here and another way further on (a second request hidden in the
// first one's body, two ids). It harms nobody: no such header may be repeated.
void RequestParser::once(bool& seen) {
  if (std::exchange(seen, true)) head.ambiguous = true;
}

void RequestParser::on_field_impl(http::field name, Text name_text, Text value,
                                  boost::beast::error_code& ec) {
  // RFC 9110, 6.5.1: a trailer is no part of the head, and nothing of it is needed.
  if (head_done_) return;
  if (name == http::field::expect) {
    head.expects_continue = iequals(value, "100-continue");
  } else if (name == http::field::connection) {
    for (const auto& token : http::token_list(value)) hop_names_.insert(lowerCase(view(token)));
  } else if (name == http::field::transfer_encoding && !iequals(value, "chunked")) {
    ec = http::error::bad_transfer_encoding;  // a coding that only the sender and this hop would share
  } else if (name == http::field::transfer_encoding) {
    head.has_body = true;
    head.ambiguous |= head.old_version;  // HTTP/1.0 knows no chunks
  } else if (name == http::field::content_length) {
    once(has_length_);
    head.has_body |= value != "0";
  }
  if (forThisHop(name)) return;
  if (name == http::field::host) once(head.has_host);
  if (name == http::field::unknown) {
    if (iequals(name_text, "X-Time-Left")) {
      head.time_left = view(value);
      once(head.has_time_left);
      return;  // what the attempt may take is written anew
    }
    if (iequals(name_text, "X-Correlation-Id")) {
      once(has_correlation_);
      head.correlation = view(value);
    }
    if (iequals(name_text, "X-Repeat")) head.repeat = value == "1";
    if (iequals(name_text, "X-Account")) head.account = view(value);
    if (iequals(name_text, "X-Weight-Hint")) head.weight_hint = view(value);
    if (iequals(name_text, "Idempotency-Key")) {
      once(head.keyed);
      head.key = view(value);
    }
  }
  head.forward.append(name_text.data(), name_text.size());
  head.forward += ": ";
  head.forward.append(value.data(), value.size());
  head.forward += "\r\n";
}

void RequestParser::on_header_impl(boost::beast::error_code&) {
  head_done_ = true;
  if (!hop_names_.empty()) removeHopFields();
  if (head.forward.capacity() > head.forward.size() + kSpareHead) head.forward.shrink_to_fit();
}

// The cost grows with the head's size, however many fields and names it has.
void RequestParser::removeHopFields() {
  std::string kept;
  kept.reserve(head.forward.size());
  const std::string_view fields = head.forward;
  for (std::size_t at = 0; at < fields.size();) {
    const std::size_t end = fields.find("\r\n", at) + 2;
    const std::string name = lowerCase(fields.substr(at, fields.find(':', at) - at));
    if (!hop_names_.contains(name)) kept += fields.substr(at, end - at);
    at = end;
  }
  head.forward.swap(kept);
  hop_names_ = {};
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                      boost::beast::error_code&) {
  // A small body in one piece; a larger one grows with what comes, since its length may be untrue.
  if (length) body.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, kSmallBody)));
}

std::size_t RequestParser::nextBodyCapacity() const { return nextCapacity(body, content_length()); }

std::size_t RequestParser::on_body_impl(Text part, boost::beast::error_code&) {
  body.append(part.data(), part.size());
  return part.size();
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, Text part, boost::beast::error_code&) {
  body.append(part.data(), part.size());
  return part.size();
}

// ---- responses ----

ResponseParser::ResponseParser(std::optional<std::uint64_t> most_body) {
  header_limit(static_cast<std::uint32_t>(kMostHead));
  body_limit(most_body ? boost::optional<std::uint64_t>(*most_body) : boost::none);
}

void ResponseParser::on_field_impl(http::field name, Text name_text, Text value, boost::beast::error_code&) {
  if (head_done_) return;
  if (name == http::field::content_type) {
    content_type = view(value);
  } else if (name == http::field::connection) {
    says_close |= http::token_list(value).exists("close");
  } else if (name == http::field::unknown) {
    if (iequals(name_text, "X-Unprocessed")) unprocessed = value == "1";
    if (iequals(name_text, "X-Backend-Load")) load = view(value);
    if (iequals(name_text, "X-Service-Term")) term = view(value);
  }
}

void ResponseParser::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                       boost::beast::error_code&) {
  if (length) body.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, kSmallBody)));
}

std::size_t ResponseParser::nextBodyCapacity() const { return nextCapacity(body, content_length()); }

std::size_t ResponseParser::on_body_impl(Text part, boost::beast::error_code&) {
  body.append(part.data(), part.size());
  return part.size();
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t, Text part, boost::beast::error_code&) {
  body.append(part.data(), part.size());
  return part.size();
}

// ---- buffer ----

boost::asio::mutable_buffer ReadBuffer::space(std::size_t least) {
  if (begin_ == end_) begin_ = end_ = 0;
  if (bytes_.size() - end_ < least && begin_ > 0) {
    std::copy(bytes_.begin() + static_cast<std::ptrdiff_t>(begin_),
              bytes_.begin() + static_cast<std::ptrdiff_t>(end_), bytes_.begin());
    end_ -= begin_;
    begin_ = 0;
  }
  if (bytes_.size() - end_ < least) bytes_.resize(end_ + least);
  return {bytes_.data() + end_, bytes_.size() - end_};
}

void ReadBuffer::consume(std::size_t bytes) {
  begin_ += bytes;
  if (begin_ == end_) begin_ = end_ = 0;
}

void ReadBuffer::append(const char* bytes, std::size_t size) {
  if (bytes_.size() - end_ < size) {
    std::vector<char> grown(this->size() + size);
    std::copy_n(bytes_.data() + begin_, this->size(), grown.data());
    end_ = this->size();
    begin_ = 0;
    bytes_.swap(grown);
  }
  std::copy_n(bytes, size, bytes_.data() + end_);
  end_ += size;
}

void ReadBuffer::release() {
  if (size() > 0) return;
  bytes_ = std::vector<char>();
  begin_ = end_ = 0;
}

void ReadBuffer::trim() {
  if (size() == bytes_.size()) return;
  bytes_ = std::vector<char>(bytes_.begin() + static_cast<std::ptrdiff_t>(begin_),
                             bytes_.begin() + static_cast<std::ptrdiff_t>(end_));
  end_ = size();
  begin_ = 0;
}

}  // namespace client_proxy
