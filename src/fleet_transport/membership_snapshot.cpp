#include "fleet_transport/membership_snapshot.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace client_proxy::fleet_transport {
namespace {

using nlohmann::json;

template <typename T>
T readUnsigned(const json& value, std::uint64_t most = std::numeric_limits<T>::max()) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most)
    throw std::runtime_error("fleet snapshot: number expected or out of range: " + value.dump());
  return value.get<T>();
}

}  // namespace

std::string toText(const fleet::MembershipSnapshot& snapshot) {
  json members = json::array();
  for (const auto& m : snapshot.members) {
    json facts = json::array();  // as bytes: they may not be valid UTF-8
    for (const char c : m.facts) facts.push_back(static_cast<std::uint8_t>(c));
    members.push_back({m.number, m.standing.incarnation, static_cast<unsigned>(m.standing.state),
                       m.version.incarnation, m.version.sequence, facts});
  }
  return json{{"incarnation", snapshot.incarnation}, {"record", snapshot.record}, {"members", members}}
      .dump();
}

fleet::MembershipSnapshot snapshotFromText(std::string_view text) {
  try {
    const json doc = json::parse(text);
    fleet::MembershipSnapshot out;
    out.incarnation = readUnsigned<fleet::Incarnation>(doc.at("incarnation"), fleet::kMaxIncarnation);
    out.record = readUnsigned<std::uint32_t>(doc.at("record"));
    for (const json& m : doc.at("members")) {
      fleet::MembershipSnapshot::Known known;
      known.number = readUnsigned<fleet::Number>(m.at(0));
      known.standing.incarnation = readUnsigned<fleet::Incarnation>(m.at(1), fleet::kMaxIncarnation);
      known.standing.state = static_cast<fleet::State>(
          readUnsigned<unsigned>(m.at(2), static_cast<unsigned>(fleet::State::Left)));
      known.version.incarnation = readUnsigned<fleet::Incarnation>(m.at(3));
      known.version.sequence = readUnsigned<std::uint32_t>(m.at(4));
      for (const json& byte : m.at(5)) known.facts += static_cast<char>(readUnsigned<std::uint8_t>(byte));
      if (known.facts.size() > fleet::kMaxFactsBytes)
        throw std::runtime_error("fleet snapshot: a record is too long");
      out.members.push_back(std::move(known));
    }
    return out;
  } catch (const json::exception& e) {
    throw std::runtime_error(std::string("fleet snapshot: invalid or incomplete: ") + e.what());
  }
}

}  // namespace client_proxy::fleet_transport
