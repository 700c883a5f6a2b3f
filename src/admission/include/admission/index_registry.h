// Assigns names small indices that stay valid while anything refers to them. The decision module, the gates
// and the rejection counters know classes and tenants by index. A reload may change the definition of a name
// while requests under it are in flight, and those must end under the definition that they started with. So a
// changed definition gets a new index, and an index is reused only when nothing is in flight under it. No
// I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace client_proxy::admission {

// `Definition` is a copyable type with operator==. Not thread-safe.
template <typename Definition>
class IndexRegistry {
 public:
  using Named = std::vector<std::pair<std::string, Definition>>;  // names must be distinct

  // Replaces the names and their definitions. A name with an unchanged definition keeps its index.
  void assign(const Named& named) {
    std::map<std::string, std::int32_t, std::less<>> previous = std::exchange(indices_, {});
    for (const auto& [name, definition] : named) {
      const auto it = previous.find(name);
      if (it != previous.end() && at(it->second) == definition) indices_.emplace(name, it->second);
    }
    for (Entry& e : entries_) e.current = false;
    for (const auto& [name, index] : indices_) entries_[static_cast<std::size_t>(index)].current = true;
    for (const auto& [name, definition] : named) {
      if (indices_.count(name) == 0) indices_.emplace(name, allocate(name, definition));
    }
  }

  std::optional<std::int32_t> find(std::string_view name) const {
    const auto it = indices_.find(name);
    return it == indices_.end() ? std::nullopt : std::optional(it->second);
  }
  // The number of indices, counted from 0: the required size of tables by index.
  std::size_t size() const { return entries_.size(); }
  // For an index that no name refers to any more, its last definition.
  const Definition& at(std::int32_t index) const {
    return entries_[static_cast<std::size_t>(index)].definition;
  }
  const std::string& name(std::size_t index) const { return entries_[index].name; }
  bool current(std::size_t index) const { return entries_[index].current; }

  // Counts what is in flight under an index. A negative index (unknown) is ignored.
  void acquire(std::int32_t index) {
    if (index >= 0) ++entries_[static_cast<std::size_t>(index)].in_flight;
  }
  void release(std::int32_t index) {
    if (index >= 0) --entries_[static_cast<std::size_t>(index)].in_flight;
  }

 private:
  struct Entry {
    std::string name;
    Definition definition;
    std::size_t in_flight = 0;
    bool current = true;
  };

  // Chooses an index that had the same name and definition before, else one that is not in use, else a new
  // one.
  std::int32_t allocate(const std::string& name, const Definition& definition) {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Entry& e = entries_[i];
      if (e.current || e.name != name || !(e.definition == definition)) continue;
      e.current = true;
      return static_cast<std::int32_t>(i);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (entries_[i].current || entries_[i].in_flight > 0) continue;
      entries_[i] = {name, definition, 0, true};
      return static_cast<std::int32_t>(i);
    }
    entries_.push_back({name, definition, 0, true});
    return static_cast<std::int32_t>(entries_.size() - 1);
  }

  std::vector<Entry> entries_;
  std::map<std::string, std::int32_t, std::less<>> indices_;
};

}  // namespace client_proxy::admission
