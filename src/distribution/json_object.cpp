#include "distribution/json_object.h"

#include <utility>

#include "distribution/digest.h"

namespace client_proxy::distribution {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxDigestBytes = 64;  // longer strings are rejected by their length

}  // namespace

JsonObject::JsonObject(const json& value, std::string path) : value_(&value), path_(std::move(path)) {
  if (!value.is_object()) throw CodecError(path_, "is not an object");
}

std::string JsonObject::pathOf(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

bool JsonObject::has(const char* key) const {
  const auto found = value_->find(key);
  return found != value_->end() && !found->is_null();
}

const json& JsonObject::at(const char* key) const {
  const auto found = value_->find(key);
  if (found == value_->end()) throw CodecError(pathOf(key), "is missing");
  return *found;
}

std::string JsonObject::text(const char* key, std::size_t max_bytes) const {
  const json& value = at(key);
  if (!value.is_string()) throw CodecError(pathOf(key), "is not a string");
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > max_bytes)
    throw CodecError(pathOf(key), "has " + std::to_string(text.size()) + " bytes, " +
                                      std::to_string(max_bytes) + " are allowed");
  return text;
}

std::string JsonObject::hexDigest(const char* key) const {
  std::string digits = text(key, kMaxDigestBytes);
  if (!isHexDigest(digits)) throw CodecError(pathOf(key), "is not 32 lower-case hex digits");
  return digits;
}

std::uint64_t JsonObject::number(const char* key, std::uint64_t max) const {
  const json& value = at(key);
  if (!value.is_number_unsigned()) throw CodecError(pathOf(key), "is not a whole number of 0 or more");
  const auto number = value.get<std::uint64_t>();
  if (number > max) throw CodecError(pathOf(key), "exceeds " + std::to_string(max));
  return number;
}

std::int64_t JsonObject::signedNumber(const char* key) const {
  const json& value = at(key);
  constexpr auto kMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (value.is_number_unsigned() && value.get<std::uint64_t>() > kMax)
    throw CodecError(pathOf(key), "exceeds " + std::to_string(kMax));
  if (!value.is_number_integer()) throw CodecError(pathOf(key), "is not a whole number");
  return value.get<std::int64_t>();
}

bool JsonObject::flag(const char* key) const {
  const json& value = at(key);
  if (!value.is_boolean()) throw CodecError(pathOf(key), "is neither true nor false");
  return value.get<bool>();
}

JsonObject JsonObject::object(const char* key) const { return JsonObject(at(key), pathOf(key)); }

const json& JsonObject::array(const char* key, std::size_t max_count) const {
  const json& value = at(key);
  if (!value.is_array()) throw CodecError(pathOf(key), "is not an array");
  if (value.size() > max_count)
    throw CodecError(pathOf(key), "has " + std::to_string(value.size()) + " entries, " +
                                      std::to_string(max_count) + " are allowed");
  return value;
}

std::vector<JsonObject> JsonObject::objects(const char* key, std::size_t max_count) const {
  std::vector<JsonObject> all;
  for (const json& entry : array(key, max_count))
    all.emplace_back(entry, pathOf(key) + "[" + std::to_string(all.size()) + "]");
  return all;
}

std::vector<std::string> JsonObject::texts(const char* key, std::size_t max_count,
                                           std::size_t max_bytes) const {
  std::vector<std::string> all;
  for (const json& entry : array(key, max_count)) {
    const std::string path = pathOf(key) + "[" + std::to_string(all.size()) + "]";
    if (!entry.is_string()) throw CodecError(path, "is not a string");
    all.push_back(entry.get<std::string>());
    if (all.back().size() > max_bytes) throw CodecError(path, "is too long");
  }
  return all;
}

json parseJson(std::string_view text, std::size_t max_bytes) {
  if (text.size() > max_bytes)
    throw CodecError("", "the message has " + std::to_string(text.size()) + " bytes, " +
                             std::to_string(max_bytes) + " are allowed");
  try {
    return json::parse(text);
  } catch (const json::exception& e) {
    throw CodecError("", std::string("is not JSON: ") + e.what());
  }
}

std::string formatJson(const json& value) {
  try {
    return value.dump();
  } catch (const json::exception& e) {
    throw CodecError("", std::string("is not UTF-8: ") + e.what());
  }
}

}  // namespace client_proxy::distribution
