#include <toml++/toml.h>

#include <algorithm>
#include <stdexcept>
#include <string_view>

#include "net/host_list.h"
#include "operator_settings.h"

namespace quinceline {
namespace {

constexpr double kMostCount = 1e7;

class Reader {
 public:
  explicit Reader(std::string path) : path_(std::move(path)) {}

  [[noreturn]] void bad(const toml::source_region& at, const std::string& key,
                        const std::string& what) const {
    throw std::runtime_error(path_ + ":" + std::to_string(at.begin.line) + ": " + key + ": " + what);
  }

  // Each key of a table must be one of those that are read.
  void onlyKeys(const toml::table& table, const std::string& name,
                std::initializer_list<std::string_view> keys) const {
    for (const auto& [key, value] : table) {
      if (std::find(keys.begin(), keys.end(), key.str()) != keys.end()) continue;
      bad(key.source(), join(name, key.str()), "is not known; here go " + listed(keys));
    }
  }

  const toml::table* table(const toml::table& in, const std::string& name, std::string_view key) const {
    const toml::node* const node = in.get(key);
    if (node == nullptr) return nullptr;
    if (!node->is_table()) bad(node->source(), join(name, key), "is not a table");
    return node->as_table();
  }

  std::optional<double> number(const toml::table& in, const std::string& name, std::string_view key,
                               double least, double most) const {
    const toml::node* const node = in.get(key);
    if (node == nullptr) return std::nullopt;
    const std::optional<double> value = node->value<double>();
    if (!node->is_number() || !value) bad(node->source(), join(name, key), "is not a number");
    if (!(*value >= least && *value <= most)) {
      bad(node->source(), join(name, key), "is not within " + text(least) + " to " + text(most));
    }
    return value;
  }

  std::optional<std::size_t> count(const toml::table& in, const std::string& name, std::string_view key,
                                   double least) const {
    const toml::node* const node = in.get(key);
    if (node != nullptr && !node->is_integer()) bad(node->source(), join(name, key), "is not a whole number");
    const std::optional<double> value = number(in, name, key, least, kMostCount);
    return value ? std::optional(static_cast<std::size_t>(*value)) : std::nullopt;
  }

  std::vector<admission::RequestGate::Share> shares(const toml::table& admission, std::string_view kind,
                                                    const std::vector<std::string>& names) const {
    std::vector<admission::RequestGate::Share> all;
    const std::string in = "admission." + std::string(kind);
    const toml::table* const given = table(admission, "admission", kind);
    if (given == nullptr) return all;
    all.resize(names.size());
    for (const auto& [key, node] : *given) {
      const std::string name = join(in, key.str());
      const auto known = std::find(names.begin(), names.end(), key.str());
      if (known == names.end())
        bad(key.source(), name, "there is no such " + std::string(kind) + "; known are " + listed(names));
      const toml::table& t = *table(*given, in, key.str());
      onlyKeys(t, name, {"guaranteed", "most", "weight"});
      admission::RequestGate::Share& share = all[static_cast<std::size_t>(known - names.begin())];
      share.guaranteed = count(t, name, "guaranteed", 0).value_or(share.guaranteed);
      share.most = count(t, name, "most", 1).value_or(share.most);
      share.weight = number(t, name, "weight", 0.001, 1000).value_or(share.weight);
    }
    return all;
  }

  static std::string join(const std::string& name, std::string_view key) {
    return name.empty() ? std::string(key) : name + "." + std::string(key);
  }

 private:
  static std::string text(double value) {
    std::string s = std::to_string(value);
    s.erase(s.find_last_not_of('0') + 1);
    if (s.back() == '.') s.pop_back();
    return s;
  }
  template <typename Names>
  static std::string listed(const Names& names) {
    std::string all;
    for (const std::string_view n : names) {
      if (!all.empty()) all += ", ";
      all += n;
    }
    return all;
  }
  std::string path_;
};

}  // namespace

OperatorSettings readOperatorFile(const std::string& path, const std::vector<std::string>& classes,
                                  const std::vector<std::string>& tenants) {
  const Reader reader(path);
  toml::table root;
  try {
    root = toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    throw std::runtime_error(path + ":" + std::to_string(e.source().begin.line) + ": " +
                             std::string(e.description()));
  }
  OperatorSettings s;
  reader.onlyKeys(root, "", {"status", "admission"});
  if (const toml::table* const t = reader.table(root, "", "status")) {
    reader.onlyKeys(*t, "status", {"listen"});
    if (const toml::node* const node = t->get("listen")) {
      const auto text = node->value<std::string>();
      if (!node->is_string() || !text) reader.bad(node->source(), "status.listen", "is not a text");
      try {
        s.status = parseEndpoint(*text);
      } catch (const std::exception& e) {
        reader.bad(node->source(), "status.listen", e.what());
      }
      if (!s.status->address().is_loopback())
        reader.bad(node->source(), "status.listen", *text + " is not a loopback address");
    }
  }
  if (const toml::table* const t = reader.table(root, "", "admission")) {
    const std::string in = "admission";
    reader.onlyKeys(*t, in,
                    {"connections", "connections_per_address", "idle_kept", "open", "waiting",
                     "retries_least", "retries_percent", "class", "tenant"});
    s.connections = reader.count(*t, in, "connections", 1);
    s.connections_per_address = reader.count(*t, in, "connections_per_address", 1);
    s.idle_kept = reader.count(*t, in, "idle_kept", 0);
    s.open = reader.count(*t, in, "open", 1);
    s.waiting = reader.count(*t, in, "waiting", 0);
    s.retries_least = reader.count(*t, in, "retries_least", 0);
    if (const auto percent = reader.number(*t, in, "retries_percent", 0, 10'000))
      s.retries_part = *percent / 100;
    s.classes = reader.shares(*t, "class", classes);
    s.tenants = reader.shares(*t, "tenant", tenants);
    try {
      const admission::RequestGate tried(
          {.open = s.open.value_or(admission::kNoBound), .classes = s.classes, .tenants = s.tenants});
    } catch (const std::exception& e) {
      reader.bad(t->source(), in, e.what());
    }
  }
  return s;
}

}  // namespace quinceline
