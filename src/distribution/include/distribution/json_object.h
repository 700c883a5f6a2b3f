// Reading and writing JSON objects with errors that name the key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace client_proxy::distribution {

/// What is wrong with a message: "delta.splices[0].offset: is not a whole number".
struct CodecError : std::runtime_error {
  CodecError(std::string key_path, const std::string& what)
      : std::runtime_error(key_path.empty() ? what : key_path + ": " + what), key(std::move(key_path)) {}
  std::string key;  ///< the path to the value; empty: the message as a whole
};

/// An object of a message and its place in it. Keys that nobody asks for are passed over, so that a later
/// program can add some. All calls throw CodecError.
class JsonObject {
 public:
  explicit JsonObject(const nlohmann::json& value, std::string path = {});

  bool has(const char* key) const;  ///< there, and not null
  std::string text(const char* key, std::size_t max_bytes) const;
  std::string hexDigest(const char* key) const;
  std::uint64_t number(const char* key, std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) const;
  std::int64_t signedNumber(const char* key) const;
  bool flag(const char* key) const;
  JsonObject object(const char* key) const;
  std::vector<JsonObject> objects(const char* key, std::size_t max_count) const;
  std::vector<std::string> texts(const char* key, std::size_t max_count, std::size_t max_bytes) const;

 private:
  const nlohmann::json& at(const char* key) const;
  const nlohmann::json& array(const char* key, std::size_t max_count) const;
  std::string pathOf(const char* key) const;

  const nlohmann::json* value_;
  std::string path_;
};

/// Throws CodecError where it is not JSON or exceeds max_bytes.
nlohmann::json parseJson(std::string_view text, std::size_t max_bytes);

/// As one line. Throws CodecError where a string in it is not UTF-8.
std::string formatJson(const nlohmann::json& value);

}  // namespace client_proxy::distribution
