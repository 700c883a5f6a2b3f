#include "state.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quinceline::handover {

using nlohmann::json;

std::string toText(const State& state) {
  json servers = json::array();
  for (const weldflow::Remembered& s : state.servers) {
    servers.push_back({{"id", s.id},
                       {"slot", s.slot},
                       {"out_of_use", s.out_of_use},
                       {"ejected", s.ejected},
                       {"silent", s.silent},
                       {"ejected_since", s.ejected_since},
                       {"ejected_until", s.ejected_until},
                       {"strikes", s.strikes},
                       {"struck_at", s.struck_at},
                       {"cold_since", s.cold_since},
                       {"slowness", s.slowness}});
  }
  const json doc = {{"hosts", state.hosts}, {"servers", servers}, {"drained", state.drained}};
  // An id need not be UTF-8.
  return doc.dump(-1, ' ', false, json::error_handler_t::replace);
}

State fromText(std::string_view text) {
  try {
    const json doc = json::parse(text);
    State state;
    state.hosts = doc.at("hosts").get<std::string>();
    state.drained = doc.at("drained").get<bool>();
    for (const json& s : doc.at("servers")) {
      weldflow::Remembered r;
      r.id = s.at("id").get<std::string>();
      r.slot = s.at("slot").get<std::int32_t>();
      r.out_of_use = s.at("out_of_use").get<bool>();
      r.ejected = s.at("ejected").get<bool>();
      r.silent = s.at("silent").get<bool>();
      r.ejected_since = s.at("ejected_since").get<weldflow::Time>();
      r.ejected_until = s.at("ejected_until").get<weldflow::Time>();
      r.strikes = s.at("strikes").get<double>();
      r.struck_at = s.at("struck_at").get<weldflow::Time>();
      r.cold_since = s.at("cold_since").get<weldflow::Time>();
      r.slowness = s.at("slowness").get<double>();
      state.servers.push_back(std::move(r));
    }
    return state;
  } catch (const json::exception& e) {
    throw std::runtime_error(std::string("the state is not whole: ") + e.what());
  }
}

}  // namespace quinceline::handover
