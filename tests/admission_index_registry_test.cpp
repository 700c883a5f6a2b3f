// Tests IndexRegistry, whose names change their definition while requests are in flight, and reconfiguration
// of the gates and counters that use its indices.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "admission/connections.h"
#include "admission/index_registry.h"
#include "admission/rejection_counters.h"
#include "admission/requests.h"

namespace client_proxy::admission {
namespace {

TEST(IndexRegistry, ANameKeepsItsIndexWhileItsDefinitionIsUnchanged) {
  IndexRegistry<int> registry;
  registry.assign({{"a", 1}, {"b", 2}});
  EXPECT_EQ(registry.find("a"), 0);
  EXPECT_EQ(registry.find("b"), 1);
  registry.assign({{"c", 3}, {"b", 2}, {"a", 1}});
  EXPECT_EQ(registry.find("a"), 0);
  EXPECT_EQ(registry.find("b"), 1);
  EXPECT_EQ(registry.find("c"), 2);
  EXPECT_EQ(registry.find("d"), std::nullopt);
}

TEST(IndexRegistry, AnIndexInUseKeepsItsDefinition) {
  IndexRegistry<int> registry;
  registry.assign({{"a", 1}});
  registry.acquire(0);
  registry.assign({{"a", 7}});
  EXPECT_EQ(registry.find("a"), 1);
  EXPECT_EQ(registry.at(0), 1);
  EXPECT_FALSE(registry.current(0));
  registry.assign({{"a", 1}});
  EXPECT_EQ(registry.find("a"), 0) << "the definition is the same again";
  registry.assign({{"a", 7}});
  registry.assign({{"a", 8}});
  EXPECT_EQ(registry.find("a"), 1) << "nothing was in flight under the previous definition";
  registry.release(0);
  registry.assign({{"a", 9}});
  EXPECT_EQ(registry.find("a"), 0);
  EXPECT_EQ(registry.size(), 2U);
  registry.assign({});
  EXPECT_EQ(registry.find("a"), std::nullopt);
}

// For any order of assigning, acquiring and releasing: an index in flight keeps its definition, a name has
// the newest one, and there are never more indices than pairs of name and definition.
TEST(IndexRegistry, RandomEventsKeepDefinitionsInFlightAndBoundTheIndices) {
  std::mt19937 random(5);
  IndexRegistry<int> registry;
  std::map<std::string, int> model;
  std::multimap<std::int32_t, int> in_flight;  // index to definition
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
      registry.assign(named);
      most = std::max(most, registry.size());
    } else if (random() % 2 == 0 && !model.empty()) {
      const auto index = registry.find(model.begin()->first);
      ASSERT_TRUE(index);
      registry.acquire(*index);
      in_flight.emplace(*index, registry.at(*index));
    } else if (!in_flight.empty()) {
      registry.release(in_flight.begin()->first);
      in_flight.erase(in_flight.begin());
    }
    for (const auto& [name, definition] : model) {
      ASSERT_TRUE(registry.find(name));
      ASSERT_EQ(registry.at(*registry.find(name)), definition);
    }
    for (const auto& [index, definition] : in_flight) ASSERT_EQ(registry.at(index), definition);
  }
  EXPECT_LE(most, 4U * 4U) << "four names with four definitions each";
}

AdmissionRequest requestOf(RequestKey id, std::int32_t cls, std::int32_t tenant = -1) {
  return {.id = id, .request_class = cls, .tenant = tenant, .bytes = 10, .deadline = 10'000'000};
}

TEST(RequestGateReconfigure, OpenRequestsStayAndQueuedOnesGetTheNewPlaces) {
  RequestGate gate({.open = 2, .waiting = 4, .classes = {{}, {}}});
  std::vector<Refusal> refused;
  EXPECT_EQ(gate.offer(0, requestOf(1, 0), refused).outcome, AdmissionOutcome::Admitted);
  EXPECT_EQ(gate.offer(0, requestOf(2, 1), refused).outcome, AdmissionOutcome::Admitted);
  EXPECT_EQ(gate.offer(0, requestOf(3, 1, 5), refused).outcome, AdmissionOutcome::Queued);
  gate.reconfigure({.open = 3, .waiting = 4, .classes = {{}, {}, {}}, .tenants = {{}, {}}});
  EXPECT_EQ(gate.open(), 2U);
  EXPECT_EQ(gate.openOfClass(1), 1U);
  std::vector<RequestKey> admitted;
  gate.next(1, admitted, refused);
  EXPECT_EQ(admitted, std::vector<RequestKey>{3});
  EXPECT_EQ(gate.openOfClass(1), 2U);
  EXPECT_EQ(gate.openOfClass(2), 0U);
  gate.reconfigure({.open = 1, .waiting = 4, .classes = {{}, {}, {}}});
  EXPECT_EQ(gate.offer(2, requestOf(4, 2), refused).outcome, AdmissionOutcome::Queued)
      << "open requests are not removed";
  for (const RequestKey id : {1, 2, 3}) gate.release(3, id);
  admitted.clear();
  gate.next(3, admitted, refused);
  EXPECT_EQ(admitted, std::vector<RequestKey>{4});
  EXPECT_TRUE(refused.empty());
}

TEST(RequestGateReconfigure, ImpossibleLimitsThrowAndChangeNothing) {
  RequestGate gate({.open = 2, .classes = {{.guaranteed = 1}}});
  EXPECT_THROW(gate.reconfigure({.open = 2, .classes = {{.guaranteed = 3}}}), std::invalid_argument);
  EXPECT_EQ(gate.limits().classes.at(0).guaranteed, 1U);
  std::vector<Refusal> refused;
  EXPECT_EQ(gate.offer(0, requestOf(1, -1), refused).outcome, AdmissionOutcome::Admitted);
  EXPECT_EQ(gate.offer(0, requestOf(2, -1), refused).outcome, AdmissionOutcome::Refused)
      << "the place is reserved for the class";
}

// Random requests and limits, compared with a simple model.
TEST(RequestGateReconfigure, RandomLimitsKeepCountsConsistent) {
  std::mt19937 random(3);
  RequestGate gate({.open = 5, .waiting = 3, .classes = {{}, {}}});
  std::map<RequestKey, std::int32_t> open, waiting;
  RequestKey next_id = 1;
  const auto applyToModel = [&](std::vector<RequestKey>& admitted, std::vector<Refusal>& refused) {
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
      const Verdict v = gate.offer(round, requestOf(id, cls), refused);
      if (v.outcome == AdmissionOutcome::Admitted) open[id] = cls;
      if (v.outcome == AdmissionOutcome::Queued) waiting[id] = cls;
    } else if (!open.empty()) {
      gate.release(round, open.begin()->first);
      open.erase(open.begin());
      gate.next(round, admitted, refused);
    }
    ASSERT_NO_FATAL_FAILURE(applyToModel(admitted, refused));
    ASSERT_EQ(gate.open(), open.size());
    ASSERT_EQ(gate.waiting(), waiting.size());
    for (std::size_t c = 0; c < classes; ++c) {
      const auto index = static_cast<std::int32_t>(c);
      ASSERT_EQ(gate.openOfClass(index),
                static_cast<std::size_t>(
                    std::count_if(open.begin(), open.end(), [&](auto& o) { return o.second == index; })));
    }
  }
}

TEST(LedgerGrow, CountsKeepTheirClassAndTenant) {
  RejectionCounters counters(1, 1);
  counters.note(RejectionReason::ConcurrencyLimit, 0, 0);
  counters.note(RejectionReason::ConcurrencyLimit, 0, -1);
  counters.note(RejectionReason::DeadlineUnreachable, 9, 9);
  counters.grow(3, 2);
  EXPECT_EQ(counters.classes(), 4U);
  EXPECT_EQ(counters.count(RejectionReason::ConcurrencyLimit, 0, 0), 1U);
  EXPECT_EQ(counters.count(RejectionReason::ConcurrencyLimit, 0, 2), 1U) << "other tenants";
  EXPECT_EQ(counters.count(RejectionReason::DeadlineUnreachable, 3, 2), 1U) << "other classes and tenants";
  EXPECT_EQ(counters.count(RejectionReason::DeadlineUnreachable, 1, 1), 0U);
  EXPECT_EQ(counters.total(RejectionReason::ConcurrencyLimit), 2U);
  EXPECT_EQ(counters.summarySinceLast(), "2 open_full, 1 too_late");
  counters.grow(1, 1);
  EXPECT_EQ(counters.classes(), 4U) << "the number of classes never shrinks";
}

TEST(ConnectionGateReconfigure, NewTimeLimitsApplyToStatesEnteredLater) {
  ConnectionGate::Limits limits;
  limits.silent = 1'000'000;
  ConnectionGate gate(limits);
  const ConnectionId older = gate.onAccepted(0, {});
  limits.silent = 200'000;
  gate.reconfigure(limits);
  const ConnectionId newer = gate.onAccepted(0, {});
  std::vector<ConnectionGate::Overdue> overdue;
  gate.overdue(500'000, overdue);
  ASSERT_EQ(overdue.size(), 1U);
  EXPECT_EQ(overdue[0].id, newer);
  gate.overdue(1'100'000, overdue);
  EXPECT_EQ(overdue.back().id, older);
}

}  // namespace
}  // namespace client_proxy::admission
