// Numbers for names that change their meaning while requests of them are in flight, and the gates that go by
// them.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "admission/connections.h"
#include "admission/index_registry.h"
#include "admission/rejection_counters.h"
#include "admission/requests.h"

namespace client_proxy::admission {
namespace {

TEST(IndexRegistry, ANameKeepsItsNumberWhileItMeansTheSame) {
  IndexRegistry<int> all;
  all.assign({{"a", 1}, {"b", 2}});
  EXPECT_EQ(all.find("a"), 0);
  EXPECT_EQ(all.find("b"), 1);
  all.assign({{"c", 3}, {"b", 2}, {"a", 1}});
  EXPECT_EQ(all.find("a"), 0);
  EXPECT_EQ(all.find("b"), 1);
  EXPECT_EQ(all.find("c"), 2);
  EXPECT_EQ(all.find("d"), std::nullopt);
}

TEST(IndexRegistry, ANumberThatIsInUseKeepsItsMeaning) {
  IndexRegistry<int> all;
  all.assign({{"a", 1}});
  all.acquire(0);
  all.assign({{"a", 7}});
  EXPECT_EQ(all.find("a"), 1);
  EXPECT_EQ(all.at(0), 1);
  EXPECT_FALSE(all.current(0));
  all.assign({{"a", 1}});
  EXPECT_EQ(all.find("a"), 0) << "it means the same again";
  all.assign({{"a", 7}});
  all.assign({{"a", 8}});
  EXPECT_EQ(all.find("a"), 1) << "nothing was in flight under the one before";
  all.release(0);
  all.assign({{"a", 9}});
  EXPECT_EQ(all.find("a"), 0);
  EXPECT_EQ(all.size(), 2U);
  all.assign({});
  EXPECT_EQ(all.find("a"), std::nullopt);
}

// Whatever is assigned, used and released: what is in flight keeps its meaning, a name has the newest, and
// there are never more numbers than names and meanings in flight together.
TEST(IndexRegistry, AnyOrderOfEvents) {
  std::mt19937 random(5);
  IndexRegistry<int> all;
  std::map<std::string, int> model;
  std::multimap<std::int32_t, int> in_flight;  // number to meaning
  std::size_t most = 0;
  for (int round = 0; round < 20'000; ++round) {
    if (random() % 10 == 0) {
      model.clear();
      IndexRegistry<int>::Named named;
      for (const char* const name : {"a", "b", "c", "d"}) {
        if (random() % 3 == 0) continue;
        model[name] = static_cast<int>(random() % 4);
        named.emplace_back(name, model[name]);
      }
      all.assign(named);
      most = std::max(most, all.size());
    } else if (random() % 2 == 0 && !model.empty()) {
      const auto number = all.find(model.begin()->first);
      ASSERT_TRUE(number);
      all.acquire(*number);
      in_flight.emplace(*number, all.at(*number));
    } else if (!in_flight.empty()) {
      all.release(in_flight.begin()->first);
      in_flight.erase(in_flight.begin());
    }
    for (const auto& [name, meaning] : model) {
      ASSERT_TRUE(all.find(name));
      ASSERT_EQ(all.at(*all.find(name)), meaning);
    }
    for (const auto& [number, meaning] : in_flight) ASSERT_EQ(all.at(number), meaning);
  }
  EXPECT_LE(most, 4U * 4U) << "four names, four meanings";
}

AdmissionRequest ask(RequestKey id, std::int32_t cls, std::int32_t tenant = -1) {
  return {.id = id, .request_class = cls, .tenant = tenant, .bytes = 10, .deadline = 10'000'000};
}

TEST(RequestGateReconfigure, WhatIsOpenStaysAndWhoWaitsGetsTheNewPlaces) {
  RequestGate gate({.open = 2, .waiting = 4, .classes = {{}, {}}});
  std::vector<Refusal> refused;
  EXPECT_EQ(gate.offer(0, ask(1, 0), refused).outcome, AdmissionOutcome::Admitted);
  EXPECT_EQ(gate.offer(0, ask(2, 1), refused).outcome, AdmissionOutcome::Admitted);
  EXPECT_EQ(gate.offer(0, ask(3, 1, 5), refused).outcome, AdmissionOutcome::Queued);
  gate.reconfigure({.open = 3, .waiting = 4, .classes = {{}, {}, {}}, .tenants = {{}, {}}});
  EXPECT_EQ(gate.open(), 2U);
  EXPECT_EQ(gate.openOfClass(1), 1U);
  std::vector<RequestKey> admitted;
  gate.next(1, admitted, refused);
  EXPECT_EQ(admitted, std::vector<RequestKey>{3});
  EXPECT_EQ(gate.openOfClass(1), 2U);
  EXPECT_EQ(gate.openOfClass(2), 0U);
  gate.reconfigure({.open = 1, .waiting = 4, .classes = {{}, {}, {}}});
  EXPECT_EQ(gate.offer(2, ask(4, 2), refused).outcome, AdmissionOutcome::Queued)
      << "what is open is not thrown out";
  for (const RequestKey id : {1, 2, 3}) gate.release(3, id);
  admitted.clear();
  gate.next(3, admitted, refused);
  EXPECT_EQ(admitted, std::vector<RequestKey>{4});
  EXPECT_TRUE(refused.empty());
}

TEST(RequestGateReconfigure, WhatCannotHoldTogetherChangesNothing) {
  RequestGate gate({.open = 2, .classes = {{.guaranteed = 1}}});
  EXPECT_THROW(gate.reconfigure({.open = 2, .classes = {{.guaranteed = 3}}}), std::invalid_argument);
  EXPECT_EQ(gate.limits().classes.at(0).guaranteed, 1U);
  std::vector<Refusal> refused;
  EXPECT_EQ(gate.offer(0, ask(1, -1), refused).outcome, AdmissionOutcome::Admitted);
  EXPECT_EQ(gate.offer(0, ask(2, -1), refused).outcome, AdmissionOutcome::Refused) << "kept for the class";
}

// Random requests and limits, against sums made by hand.
TEST(RequestGateReconfigure, CountsHoldWhateverTheLimitsBecome) {
  std::mt19937 random(3);
  RequestGate gate({.open = 5, .waiting = 3, .classes = {{}, {}}});
  std::map<RequestKey, std::int32_t> open, waiting;
  RequestKey next_id = 1;
  const auto took = [&](std::vector<RequestKey>& admitted, std::vector<Refusal>& refused) {
    for (const Refusal& r : refused) ASSERT_EQ(waiting.erase(r.id), 1U);
    for (const RequestKey id : admitted) {
      const auto it = waiting.find(id);
      ASSERT_NE(it, waiting.end());
      open.insert(*it);
      waiting.erase(it);
    }
  };
  std::size_t classes = 2;
  for (int round = 0; round < 20'000; ++round) {
    std::vector<Refusal> refused;
    std::vector<RequestKey> admitted;
    if (random() % 20 == 0) {
      classes = std::max<std::size_t>(classes, 1 + random() % 6);
      RequestGate::Limits limits{.open = 1 + random() % 8, .waiting = random() % 5};
      limits.classes.resize(classes);
      limits.classes[random() % classes].guaranteed = random() % 2;
      gate.reconfigure(limits);
      gate.next(round, admitted, refused);
    } else if (random() % 2 == 0) {
      const RequestKey id = next_id++;
      const auto cls = static_cast<std::int32_t>(random() % classes);
      const Verdict v = gate.offer(round, ask(id, cls), refused);
      if (v.outcome == AdmissionOutcome::Admitted) open[id] = cls;
      if (v.outcome == AdmissionOutcome::Queued) waiting[id] = cls;
    } else if (!open.empty()) {
      gate.release(round, open.begin()->first);
      open.erase(open.begin());
      gate.next(round, admitted, refused);
    }
    ASSERT_NO_FATAL_FAILURE(took(admitted, refused));
    ASSERT_EQ(gate.open(), open.size());
    ASSERT_EQ(gate.waiting(), waiting.size());
    for (std::size_t c = 0; c < classes; ++c) {
      const auto number = static_cast<std::int32_t>(c);
      ASSERT_EQ(gate.openOfClass(number),
                static_cast<std::size_t>(
                    std::count_if(open.begin(), open.end(), [&](auto& o) { return o.second == number; })));
    }
  }
}

TEST(LedgerGrow, WhatWasCountedStaysWhereItBelongs) {
  RejectionCounters ledger(1, 1);
  ledger.note(RejectionReason::ConcurrencyLimit, 0, 0);
  ledger.note(RejectionReason::ConcurrencyLimit, 0, -1);
  ledger.note(RejectionReason::DeadlineUnreachable, 9, 9);
  ledger.grow(3, 2);
  EXPECT_EQ(ledger.classes(), 4U);
  EXPECT_EQ(ledger.count(RejectionReason::ConcurrencyLimit, 0, 0), 1U);
  EXPECT_EQ(ledger.count(RejectionReason::ConcurrencyLimit, 0, 2), 1U) << "other tenants";
  EXPECT_EQ(ledger.count(RejectionReason::DeadlineUnreachable, 3, 2), 1U) << "other classes and tenants";
  EXPECT_EQ(ledger.count(RejectionReason::DeadlineUnreachable, 1, 1), 0U);
  EXPECT_EQ(ledger.total(RejectionReason::ConcurrencyLimit), 2U);
  EXPECT_EQ(ledger.summarySinceLast(), "2 open_full, 1 too_late");
  ledger.grow(1, 1);
  EXPECT_EQ(ledger.classes(), 4U) << "it never shrinks";
}

TEST(ConnectionGateReconfigure, NewTimesHoldForWhatBeginsThen) {
  ConnectionGate::Limits limits;
  limits.silent = 1'000'000;
  ConnectionGate gate(limits);
  const ConnectionId old = gate.onAccepted(0, {});
  limits.silent = 200'000;
  gate.reconfigure(limits);
  const ConnectionId young = gate.onAccepted(0, {});
  std::vector<ConnectionGate::Overdue> overdue;
  gate.overdue(500'000, overdue);
  ASSERT_EQ(overdue.size(), 1U);
  EXPECT_EQ(overdue[0].id, young);
  gate.overdue(1'100'000, overdue);
  EXPECT_EQ(overdue.back().id, old);
}

}  // namespace
}  // namespace client_proxy::admission
