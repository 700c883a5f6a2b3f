// The servers that are known, their slots, and the subset of them that this client uses.
#pragma once

#include <cmath>
#include <map>
#include <span>

#include "containers/slot_table.h"
#include "state.h"

namespace load_balancer::decision {

constexpr std::uint32_t kSubset = 12;  // some stand-ins beyond the spread of a few failures, few connections

struct Servers : Context {
  std::map<std::string, Server, std::less<>> table;  // sorted: no decision hangs on a hash
  double recent_turn = 0;

  Server* find(std::string_view id) {
    const auto it = table.find(id);
    return it == table.end() ? nullptr : &it->second;
  }

  // The subset is the shortest prefix of the order with `wanted` usable servers: the next in order stand in.
  // Whoever joins starts where the members' turns stand, not with a burst of overdue ones.
  void measureReach() {
    double base = recent_turn;
    for (const Server* s : order) {
      if (s->member && s->usable()) base = std::min(base, s->turn);
    }
    members = 0;
    reach = 0;
    for (Server* s : order) {
      s->member = members < wanted;
      if (!s->member) continue;
      ++reach;
      members += s->usable() ? 1U : 0U;
      s->turn = std::max(s->turn, base);
    }
  }

  // A client whose own demand outgrows its subset lengthens it; the prefix property keeps what it had.
  void adjustLength(Actions& out) {
    const auto asked = static_cast<std::uint32_t>(std::ceil(kReach * demand));
    const auto want = std::max(kSubset, std::min(asked, static_cast<std::uint32_t>(order.size())));
    if (want > wanted) {
      wanted = want;
      lengthened = now;
      measureReach();
      trace(out, Line::Lengthened, "subset lengthened to " + std::to_string(wanted));
    } else if (want < wanted && now - lengthened > kShorten) {
      wanted = std::max(want, wanted - std::max(1U, wanted / 8));
      lengthened = now - kShorten / 2;
      measureReach();
    }
  }

  void remove(Server& s) {
    if (!s.banned) slots.give(s);  // one that is out by hand is to come back, and then shifts nobody
    s.listed = false;
    s.host.state = HostState::Gone;
  }
  // Slots as they were; whoever has none takes what is free.
  void recallSlots(std::span<const HostSnapshot> known) {
    slots.clear();
    for (auto& [id, s] : table) s.slot = kUnset;
    for (const HostSnapshot& k : known) {
      if (Server* const s = find(k.id)) slots.take(*s, k.slot);
    }
    for (auto& [id, s] : table) {
      if (s.listed) slots.take(s);
    }
  }
  // After any change: the order anew, from the slots that are taken.
  void rebuildOrder() {
    slots.trim();
    order.clear();
    for (const std::uint32_t slot : subsetOrder(settings.client, static_cast<std::uint32_t>(slots.size()))) {
      if (slots[slot] != nullptr) order.push_back(slots[slot]);
    }
    measureReach();
  }
  // Of servers that nobody lists and nothing waits for, nothing is kept but what staff have said.
  void forgetGone() {
    std::erase_if(table, [](const auto& e) {
      const Server& s = e.second;
      return !s.listed && !s.banned && s.in_flight == 0 && !s.probing;
    });
  }

  // Earliest of the times when ejected servers may prove themselves; 0: none is out.
  Time next_return = 0;
  void returnAt(Time t) { next_return = next_return == 0 ? t : std::min(next_return, t); }

  static constexpr double kReach = 4;  // members for each own request in flight: a hot client spreads out
  static constexpr Time kShorten = 10 * kSecond;  // a lengthened subset stays so long: bursts do not flap it

  client_proxy::containers::SlotTable<Server> slots;
  std::vector<Server*> order;  // this client's reading order of the listed servers
  std::size_t reach = 0;       // the subset is the usable part of order[0, reach)
  std::uint32_t members = 0;   // how many usable servers that is
  std::uint32_t wanted = kSubset;
  Time lengthened = 0;
};

}  // namespace load_balancer::decision
