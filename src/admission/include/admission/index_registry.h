// Names to small numbers that stay while anything goes by them. The decision module, the gates and the ledger
// know classes and tenants by number; a reload may change what a name means while requests of it are in
// flight, and these end under what they began with. So a changed definition gets another number, and a number
// is given anew only when nothing is in flight under it. No I/O, no clock.
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

// `Definition` is a value with ==.
template <typename Definition>
class IndexRegistry {
 public:
  using Named = std::vector<std::pair<std::string, Definition>>;  // no name twice

  // From now on names mean this. A name whose definition is as before keeps its number.
  void assign(const Named& named) {
    std::map<std::string, std::int32_t, std::less<>> before = std::exchange(numbers_, {});
    for (const auto& [name, definition] : named) {
      const auto it = before.find(name);
      if (it != before.end() && at(it->second) == definition) numbers_.emplace(name, it->second);
    }
    for (Entry& e : entries_) e.current = false;
    for (const auto& [name, number] : numbers_) entries_[static_cast<std::size_t>(number)].current = true;
    for (const auto& [name, definition] : named) {
      if (numbers_.count(name) == 0) numbers_.emplace(name, take(name, definition));
    }
  }

  std::optional<std::int32_t> find(std::string_view name) const {
    const auto it = numbers_.find(name);
    return it == numbers_.end() ? std::nullopt : std::optional(it->second);
  }
  // Numbers in all, from 0: what tables by number must hold.
  std::size_t size() const { return entries_.size(); }
  // Also of a number that no name means any more: what it meant last.
  const Definition& at(std::int32_t number) const {
    return entries_[static_cast<std::size_t>(number)].definition;
  }
  const std::string& name(std::size_t number) const { return entries_[number].name; }
  bool current(std::size_t number) const { return entries_[number].current; }

  // Something is in flight under it, or no longer. Less than 0 (not known) is passed over.
  void acquire(std::int32_t number) {
    if (number >= 0) ++entries_[static_cast<std::size_t>(number)].used;
  }
  void release(std::int32_t number) {
    if (number >= 0) --entries_[static_cast<std::size_t>(number)].used;
  }

 private:
  struct Entry {
    std::string name;
    Definition definition;
    std::size_t used = 0;
    bool current = true;
  };

  // One that meant the same before is taken up again; else one that is free; else a new one.
  std::int32_t take(const std::string& name, const Definition& definition) {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Entry& e = entries_[i];
      if (e.current || e.name != name || !(e.definition == definition)) continue;
      e.current = true;
      return static_cast<std::int32_t>(i);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (entries_[i].current || entries_[i].used > 0) continue;
      entries_[i] = {name, definition, 0, true};
      return static_cast<std::int32_t>(i);
    }
    entries_.push_back({name, definition, 0, true});
    return static_cast<std::int32_t>(entries_.size() - 1);
  }

  std::vector<Entry> entries_;
  std::map<std::string, std::int32_t, std::less<>> numbers_;
};

}  // namespace client_proxy::admission
