// Reads and writes JSON objects, with errors that name the key.
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

/// An invalid message: "delta.splices[0].offset: is not a whole number".
struct CodecError : std::runtime_error {
  CodecError(std::string key_path, const std::string& what)
      : std::runtime_error(key_path.empty() ? what : key_path + ": " + what), key(std::move(key_path)) {}
  std::string key;  ///< the path of the value; empty: the message as a whole
};

/// An object in a message, with its path. Unknown keys are ignored, so that later versions can add some. All
/// accessors throw CodecError if the value is missing, has another type or exceeds the given limit, and the
/// constructor if `value` is not an object. `value` must outlive this object.
class JsonObject {
 public:
  explicit JsonObject(const nlohmann::json& value, std::string path = {});

  bool has(const char* key) const;  ///< present and not null; never throws
  std::string text(const char* key, std::size_t max_bytes) const;
  /// A string of 32 lower-case hex digits.
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

/// Throws CodecError if the text is not JSON or exceeds max_bytes.
nlohmann::json parseJson(std::string_view text, std::size_t max_bytes);

/// Formats the value as one line. Throws CodecError if a string in it is not UTF-8.
std::string formatJson(const nlohmann::json& value);

}  // namespace client_proxy::distribution
