// A JSON value together with its path, so that a complaint can name the key.
#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "platform/settings.h"

namespace load_balancer::platform {

class Node {
 public:
  Node(const nlohmann::json& value, std::string path) : value_(value), path_(std::move(path)) {}

  [[noreturn]] void bad(const std::string& what) const { throw BadField("config", path_ + ": " + what); }

  bool has(const char* key) const {
    return value_.is_object() && value_.contains(key) && !value_.at(key).is_null();
  }

  Node at(const char* key) const {
    if (!value_.is_object()) bad("is not an object");
    if (!has(key)) Node(value_, join(key)).bad("is missing");
    return Node(value_.at(key), join(key));
  }

  Node at(std::size_t index) const {
    return Node(value_.at(index), path_ + "[" + std::to_string(index) + "]");
  }

  std::size_t size() const {
    if (!value_.is_array()) bad("is not a list");
    return value_.size();
  }

  double number(double least, double most = std::numeric_limits<double>::max()) const {
    if (!value_.is_number()) bad("is not a number");
    const double v = value_.get<double>();
    if (!std::isfinite(v) || v < least || v > most) bad("is out of range: " + value_.dump());
    return v;
  }

  Time time(Time least) const { return static_cast<Time>(number(static_cast<double>(least), 9e15)); }

  std::int32_t whole(std::int32_t least) const {
    return static_cast<std::int32_t>(number(least, std::numeric_limits<std::int32_t>::max()));
  }

  bool flag() const {
    if (value_.is_boolean()) return value_.get<bool>();
    if (value_.is_number()) return value_.get<double>() != 0;
    bad("is not true or false");
  }

  bool isText() const { return value_.is_string(); }

  std::string text() const {
    if (!value_.is_string()) bad("is not a text");
    return value_.get<std::string>();
  }

  // Values that a site may leave out.
  double numberOr(const char* key, double fallback, double least) const {
    return has(key) ? at(key).number(least) : fallback;
  }
  Time timeOr(const char* key, Time fallback) const { return has(key) ? at(key).time(0) : fallback; }
  bool flagOr(const char* key, bool fallback) const { return has(key) ? at(key).flag() : fallback; }

 private:
  std::string join(const char* key) const { return path_.empty() ? key : path_ + "." + key; }
  const nlohmann::json& value_;
  std::string path_;
};

}  // namespace load_balancer::platform
