// The schema: what may be written, what is told of it, and what operators are shown.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "conf/report.h"
#include "files/disk_source.h"

namespace client_proxy::conf {
namespace {

namespace fs = std::filesystem;

struct Memory : FileSource {
  std::map<std::string, std::string> files;
  std::optional<std::string> read(const std::string& path) override {
    const auto it = files.find(path);
    return it == files.end() ? std::nullopt : std::optional(it->second);
  }
  std::vector<std::string> match(const std::string&) override { return {}; }
};

Configuration read(const std::string& text) {
  Memory memory;
  memory.files["a.conf"] = text;
  return readConfiguration(memory, "a.conf");
}

std::string messages(const Configuration& c) {
  std::string all;
  for (const Diagnostic& d : c.found) all += render(d, c.sources);
  return all;
}

const std::string kAlone =
    "listen 127.0.0.1:8080\n"
    "class charge {\n  effect unsafe\n  aim 1s\n  deadline 2500ms\n}\n"
    "class hold {\n  effect keyed\n  window 2s\n  group zone\n  aim 1s\n  deadline 3s\n}\n"
    "tenant acme {\n  share 60%\n  weight 2\n}\n"
    "pool stations {\n  host s-1 10.0.0.1:80 {\n    zone b\n    capacity 2\n  }\n  host s-2 [::1]:80\n}\n";

TEST(ConfModel, AFileWithAPoolSaysAllThatAProxyNeeds) {
  const Configuration c = read(kAlone);
  ASSERT_TRUE(c.found.empty()) << messages(c);
  ASSERT_TRUE(c.model.pool);
  EXPECT_EQ(c.model.listen.port, 8080);
  ASSERT_EQ(c.model.classes.size(), 2U);
  EXPECT_EQ(c.model.classes[0].idempotency, Idempotency::NonIdempotent);
  EXPECT_EQ(c.model.classes[0].deadline, 2'500'000);
  EXPECT_EQ(c.model.classes[1].idempotency, Idempotency::IdempotentWithKey);
  EXPECT_EQ(c.model.classes[1].deduplication_scope, DeduplicationScope::Zone);
  EXPECT_EQ(c.model.classes[1].deduplication_window, 2'000'000);
  EXPECT_DOUBLE_EQ(c.model.tenants.at(0).part, 0.6);
  ASSERT_EQ(c.model.pool->hosts.size(), 2U);
  EXPECT_EQ(c.model.pool->hosts[0].zone, "b");
  EXPECT_EQ(c.model.pool->hosts[0].capacity, 2);
  EXPECT_EQ(c.model.pool->hosts[1].address.host, "::1");
  EXPECT_EQ(c.model.pool->attempts, 3) << "the schema's fallback";
  EXPECT_FALSE(c.model.idle) << "nothing was set: the constant holds";
}

TEST(ConfModel, AHostsFileIsFoundBesideTheFileThatNamesIt) {
  Memory memory;
  memory.files["etc/main.conf"] = "include \"parts/pool.conf\"\n" + kAlone.substr(0, kAlone.find("pool"));
  memory.files["etc/parts/pool.conf"] = "pool stations {\n  hosts-file hosts.conf\n}\n";
  const Configuration c = readConfiguration(memory, "etc/main.conf");
  ASSERT_TRUE(c.ok()) << messages(c);
  EXPECT_EQ(c.model.pool->hosts_file, "etc/parts/hosts.conf");
}

TEST(ConfModel, AHostsFileHoldsHostsOnlyAndAtLeastOne) {
  Memory memory;
  memory.files["good"] = "host a 10.0.0.1:80\nhost b 10.0.0.2:80 {\n  cell 3\n}\n";
  memory.files["cut"] = "";
  memory.files["other"] = "listen 127.0.0.1:80\nhost a 10.0.0.1:80\nhost b 10.0.0.1:80\n";
  EXPECT_EQ(readHostsFile(memory, "good").hosts.at(1).cell, 3);
  const HostsFile cut = readHostsFile(memory, "cut"), other = readHostsFile(memory, "other");
  EXPECT_EQ(oneLine(cut.found.at(0), cut.sources),
            "cut:1:1: error: no host is there; add host NAME ADDRESS:PORT");
  ASSERT_EQ(other.found.size(), 2U);
  EXPECT_EQ(other.found[0].message, "'listen' is not known here");
  EXPECT_EQ(other.found[1].message, "'b' has the address of 'a' in other:2");
  EXPECT_FALSE(readHostsFile(memory, "nowhere").ok());
}

// A value that was refused is told once, not also as missing.
TEST(ConfModel, OneMistakeIsOneMessage) {
  const Configuration c = read(
      "listen here\nclass a {\n  effect sometimes\n  aim 1\n  deadline 2s\n}\npool p {\n  host s-1\n}\n");
  EXPECT_EQ(c.found.size(), 4U) << messages(c);
}

// ---- the shared configuration ----

Configuration readShared(const std::string& block, const std::string& shared) {
  Memory memory;
  memory.files["etc/a.conf"] = kAlone + "status {\n  listen 127.0.0.1:9000\n}\n" + block;
  memory.files["etc/shared.conf"] = shared;
  return readConfiguration(memory, "etc/a.conf");
}

TEST(ConfShared, TheFileIsIncludedInThePlaceOfItsBlock) {
  const Configuration c = readShared(
      "configuration {\n  file ./shared.conf\n  region south\n  replica 2 10.0.0.2:7950 {\n    region "
      "north\n  "
      "}\n  replica 1 10.0.0.1:7950\n}\n",
      "admission {\n  open 96\n}\n");
  ASSERT_TRUE(c.found.empty()) << messages(c);
  EXPECT_EQ(c.model.open, 96U);
  ASSERT_TRUE(c.model.configuration);
  EXPECT_EQ(c.model.configuration->file, "etc/shared.conf");
  EXPECT_EQ(c.model.configuration->region, "south");
  ASSERT_EQ(c.model.configuration->replicas.size(), 2U);
  EXPECT_EQ(c.model.configuration->replicas[0].number, 2);
  EXPECT_EQ(c.model.configuration->replicas[0].region, "north");
  EXPECT_EQ(c.model.configuration->replicas[1].address.port, 7950);
  // A dump holds what the file says: it does not read it a second time.
  const Configuration again = read(dump(c.root));
  EXPECT_TRUE(again.found.empty()) << messages(again);
  EXPECT_EQ(again.model.open, 96U);
}

TEST(ConfShared, WhatIsWrongIsToldWithItsPlace) {
  const auto first = [](const std::string& lines, const std::string& shared = "") {
    const Configuration c = readShared("configuration {\n" + lines + "}\n", shared);
    return c.found.empty() ? "" : oneLine(c.found.front(), c.sources);
  };
  const std::string file = "  file shared.conf\n", one = "  replica 1 10.0.0.1:7950\n";
  EXPECT_EQ(first(file + one), "");
  const std::vector<std::pair<std::string, std::string>> wrong = {
      {one, "etc/a.conf:28:1: error: 'configuration' lacks file; add file VALUE"},
      {file,
       "etc/a.conf:28:1: error: 'configuration' has no replica; add replica NUMBER ADDRESS:PORT for each"},
      {"  file absent.conf\n" + one,
       "etc/a.conf:29:8: error: 'etc/absent.conf' can't be read; check its path and its rights"},
      {"  file *.conf\n" + one,
       "etc/a.conf:29:8: error: '*.conf' is not the name of one file; write it without *, ?, [ and $"},
      {file + one + one,
       "etc/a.conf:31:11: error: 'replica 1' is there twice; it is in etc/a.conf:30 already"},
      {file + one + "  replica 2 10.0.0.1:7950\n",
       "etc/a.conf:31:3: error: 'replica 2' has the address of 'replica 1' in etc/a.conf:30; write its own"},
      {file + "  replica 0 10.0.0.1:7950\n",
       "etc/a.conf:30:3: error: '0' is no replica's number; write 1 to 65535"},
      {file + "  replica 1 127.0.0.1:8080\n",
       "etc/a.conf:30:3: error: 'replica 1' has this instance's own address, where clients are served; write "
       "the "
       "replica's"},
      {file + "  replica 1 127.0.0.1:9000\n",
       "etc/a.conf:30:3: error: 'replica 1' has this instance's own address, where the status page is; write "
       "the "
       "replica's"}};
  for (const auto& [lines, message] : wrong) EXPECT_EQ(first(lines), message);
  EXPECT_EQ(first(file + one, "admission {\n  opn 96\n}\n"),
            "etc/shared.conf:2:3: error: 'opn' is not known here; did you mean open?");
  EXPECT_EQ(
      first(file + one, "configuration {\n  file b.conf\n}\n"),
      "etc/shared.conf:1:1: error: a shared file can't say where it comes from; delete it; it belongs in "
      "the file of each instance");
}

// ---- dump and diff ----

TEST(ConfDump, ItIsTheSameConfigurationInItsFormWithEveryKey) {
  const Configuration c =
      read(kAlone +
           "admission {\n  open 64\n}\nfleet {\n  listen 10.0.0.1:7000\n  member 0 10.0.0.1:7000 {\n    zone "
           "z\n  }\n}\n"
           "service v {\n  home z\n  route r {\n    class x\n  }\n}\nmemory {\n  folder m\n}\n");
  const std::string text = dump(c.root);
  const Configuration again = read(text);
  ASSERT_TRUE(again.found.empty()) << messages(again);
  EXPECT_TRUE(compare(c.root, again.root).empty()) << compare(c.root, again.root).front().text();
  Sources sources;
  std::vector<Diagnostic> found;
  EXPECT_EQ(format(parse(sources, sources.add("d", text), found)), text);
  for (const Key& top : kRoot.keys) {
    EXPECT_NE(text.find(top.name), std::string::npos) << top.name;
    if (top.block == nullptr) continue;
    for (const Key& key : top.block->keys)
      EXPECT_NE(text.find(std::string(key.name)), std::string::npos) << top.name << " " << key.name;
  }
}

// A block that can't be empty is not made up.
TEST(ConfDump, AFileWithoutAFleetIsDumpedWithoutOne) {
  const std::string text = dump(read(kAlone).root);
  EXPECT_NE(text.find("# fleet: not there; nothing is sent to other proxies"), std::string::npos) << text;
  EXPECT_TRUE(read(text).ok());
}

TEST(ConfModel, MembersOfAFleetAreCheckedWithTheirPlace) {
  const auto first = [](const std::string& fleet) {
    const Configuration c = read(kAlone + "fleet {\n" + fleet + "}\n");
    return c.found.empty() ? "" : oneLine(c.found.front(), c.sources);
  };
  const std::string listen = "  listen 10.0.0.1:7000\n";
  EXPECT_EQ(first(listen + "  member 0 10.0.0.1:7000\n  member 1 10.0.0.2:7000 {\n    zone b\n  }\n"), "");
  const auto ends = [](const std::string& text, const std::string& end) {
    return text.size() >= end.size() && text.substr(text.size() - end.size()) == end;
  };
  const std::string twice = first(listen + "  member 0 10.0.0.1:7000\n  member 0 10.0.0.2:7000\n");
  EXPECT_NE(twice.find("'member 0' is there twice"), std::string::npos) << twice;
  const std::string shared = first(listen + "  member 0 10.0.0.1:7000\n  member 1 10.0.0.1:7000\n");
  EXPECT_NE(shared.find("'member 1' has the address of 'member 0' in a.conf:"), std::string::npos) << shared;
  const std::string name = first(listen + "  member 0 10.0.0.1:7000\n  member one 10.0.0.2:7000\n");
  EXPECT_NE(name.find("'one' is no member's number"), std::string::npos) << name;
  const std::string zeros = first(listen + "  member 0 10.0.0.1:7000\n  member 00 10.0.0.2:7000\n");
  EXPECT_NE(zeros.find("'00' is no member's number"), std::string::npos) << zeros;
  const std::string large = first(listen + "  member 0 10.0.0.1:7000\n  member 65536 10.0.0.2:7000\n");
  EXPECT_NE(large.find("'65536' is no member's number"), std::string::npos) << large;
  const std::string absent = first(listen + "  member 4 10.0.0.1:7000\n");
  EXPECT_NE(absent.find("'fleet' lacks this instance, whose number is 0"), std::string::npos) << absent;
  EXPECT_TRUE(ends(first(listen), "add member NUMBER ADDRESS:PORT for each, or members-file FILE"));
  EXPECT_NE(first("  member 0 10.0.0.1:7000\n").find("'fleet' lacks listen"), std::string::npos);
}

TEST(ConfModel, AMembersFileHoldsMembersOnlyAndAtLeastOne) {
  Memory memory;
  memory.files["good"] = "member 3 10.0.0.1:80\nmember 40 10.0.0.2:80 {\n  region south\n}\n";
  memory.files["cut"] = "";
  memory.files["other"] = "host a 10.0.0.1:80\n";
  EXPECT_EQ(readMembersFile(memory, "good").members.at(1).number, 40);
  EXPECT_EQ(readMembersFile(memory, "good").members.at(1).region, "south");
  const MembersFile cut = readMembersFile(memory, "cut");
  EXPECT_EQ(oneLine(cut.found.at(0), cut.sources),
            "cut:1:1: error: no member is there; add member NUMBER ADDRESS:PORT");
  EXPECT_FALSE(readMembersFile(memory, "other").ok());
}

std::string difference(const std::string& before, const std::string& after) {
  const Configuration a = read(before), b = read(after);
  EXPECT_TRUE(a.ok()) << messages(a);
  EXPECT_TRUE(b.ok()) << messages(b);
  std::string all;
  for (const Change& change : compare(a.root, b.root)) all += change.text() + "\n";
  return all;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(ConfDiff, WhatMeansTheSameIsNoDifference) {
  EXPECT_EQ(difference(kAlone, replaced(kAlone, "2500ms", "2.5s  # the same")), "");
  EXPECT_EQ(difference(kAlone, "define d 2.5s\n" + replaced(kAlone, "2500ms", "$d")), "");
  EXPECT_EQ(difference(kAlone, kAlone + "clients {\n  idle 4s\n}\n"), "") << "what holds anyway";
  const std::size_t pool = kAlone.find("pool");
  EXPECT_EQ(difference(kAlone, kAlone.substr(pool) + kAlone.substr(0, pool)), "") << "another order";
}

TEST(ConfDiff, EachDifferenceIsALineWithItsRisk) {
  EXPECT_EQ(difference(kAlone, replaced(kAlone, "deadline 2500ms", "deadline 2s")),
            "class charge: deadline 2.5s -> 2s; risk: answers that came in time are given up now\n");
  EXPECT_EQ(
      difference(kAlone, replaced(kAlone, "effect unsafe", "effect safe")),
      "class charge: effect unsafe -> safe; risk: requests that may have run are repeated now, which was "
      "not allowed\n");
  EXPECT_EQ(difference(replaced(kAlone, "effect unsafe", "effect safe"), kAlone),
            "class charge: effect safe -> unsafe\n");
  EXPECT_EQ(difference(kAlone, replaced(kAlone, "host s-2 [::1]:80", "host s-3 10.0.0.3:80")),
            "pool stations: - host s-2 [::1]:80; risk: its load goes to the others\n"
            "pool stations: + host s-3 10.0.0.3:80\n");
  EXPECT_EQ(difference(kAlone, replaced(kAlone, "10.0.0.1:80", "10.0.0.9:80")),
            "pool stations, host s-1: address 10.0.0.1:80 -> 10.0.0.9:80\n");
  EXPECT_EQ(difference(kAlone, replaced(kAlone, ":8080", ":8081")),
            "listen 127.0.0.1:8080 -> 127.0.0.1:8081; takes effect at a restart\n");
  EXPECT_EQ(difference(kAlone, kAlone + "admission {\n  connections 10\n}\n"),
            "admission: connections (what descriptors leave) -> 10; risk: clients may find no place\n");
  EXPECT_EQ(difference(kAlone, replaced(kAlone, "tenant acme", "tenant nova")),
            "- tenant acme (share 60%, weight 2)\n+ tenant nova (share 60%, weight 2)\n");
}

// ---- explain ----

TEST(ConfExplain, EachValueIsNamedWithItsLine) {
  const Configuration c = read(kAlone);
  const std::string text = explain(c, "charge", "acme");
  EXPECT_EQ(text.rfind("class charge  (a.conf:2)\n  effect unsafe  (a.conf:3)\n  aim 1s  (a.conf:4)\n", 0),
            0U)
      << text;
  EXPECT_NE(text.find("  share 60%  (a.conf:15)\n"), std::string::npos) << text;
  EXPECT_NE(text.find("  attempts 3  (holds anyway)\n"), std::string::npos) << text;
  EXPECT_NE(text.find("  host s-1 10.0.0.1:80  (a.conf:19)\n"), std::string::npos) << text;
  const std::string other = explain(c, "nothing", "");
  EXPECT_EQ(other.rfind("class nothing: not there: answered 404\ntenant (none): ", 0), 0U) << other;
}

// ---- the table itself ----

void eachKey(const Block& block, const std::string& path,
             const std::function<void(const Key&, const std::string&)>& see) {
  for (const Key& key : block.keys) {
    see(key, path + std::string(key.name));
    if (key.block != nullptr) eachKey(*key.block, path + std::string(key.name) + "/", see);
  }
}

TEST(ConfSchema, EveryKeyIsDescribedAndEveryFallbackIsAValueOfItsKey) {
  eachKey(kRoot, "", [](const Key& key, const std::string& path) {
    EXPECT_FALSE(key.about.empty()) << path;
    EXPECT_EQ(key.kind == Kind::Block, key.block != nullptr) << path;
    EXPECT_EQ(key.kind == Kind::Choice, !key.choices.empty()) << path;
    if (key.kind == Kind::Block) return;
    const int ways =
        (key.required ? 1 : 0) + (key.fallback.empty() ? 0 : 1) + (key.otherwise.empty() ? 0 : 1);
    EXPECT_EQ(ways, 1) << path << ": what holds without it is said in one way";
    if (key.fallback.empty()) return;
    const std::array<Key, 1> only = {key};
    const Block block = {.keys = only};
    Sources sources;
    std::vector<Diagnostic> found;
    Document document =
        parse(sources, sources.add("x", std::string(key.name) + " " + std::string(key.fallback)), found);
    const Section section = check(block, document.statements, sources, found);
    EXPECT_TRUE(found.empty()) << path;
    ASSERT_EQ(section.settings.size(), 1U) << path;
    EXPECT_EQ(section.settings[0].text, key.fallback) << path << ": in its one form";
  });
}

std::string textOf(const fs::path& path) {
  std::ostringstream text;
  text << std::ifstream(path, std::ios::binary).rdbuf();
  return text.str();
}

TEST(ConfSchema, TheReferencePageIsTheTable) {
  EXPECT_EQ(textOf(fs::path(REPOSITORY) / "docs/configuration-reference.md"), reference())
      << "client-proxy reference > docs/configuration-reference.md";
}

TEST(ConfSchema, TheFilesUnderDeployHaveNothingToComplainOf) {
  for (const char* const name : {"operator.conf", "example.conf"}) {
    DiskSource disk;
    const Configuration c = readConfiguration(disk, (fs::path(REPOSITORY) / "deploy" / name).string());
    EXPECT_TRUE(c.found.empty()) << messages(c);
  }
}

void corpus(const char* folder, const std::string& prefix, std::size_t least, bool refused) {
  const fs::path before = fs::current_path();
  fs::current_path(fs::path(CONF_CORPUS) / folder);  // messages name what was given
  std::size_t seen = 0;
  for (const auto& entry : fs::directory_iterator(".")) {
    const std::string name = entry.path().filename().string();
    if (entry.path().extension() != ".conf" || name.rfind(prefix, 0) != 0) continue;
    ++seen;
    DiskSource disk;
    const Configuration c = readConfiguration(disk, name);
    EXPECT_EQ(c.ok(), !refused) << name;
    EXPECT_EQ(messages(c), textOf(fs::path(name).replace_extension(".expected"))) << name;
  }
  fs::current_path(before);
  EXPECT_GE(seen, least);
}

TEST(ConfSchemaCorpus, EveryBrokenFileIsRefusedWithTheMessageBesideIt) {
  corpus("broken", "schema-", 45, true);
}
TEST(ConfSchemaCorpus, EveryDoubtfulFileIsTakenWithTheWarningBesideIt) { corpus("warned", "", 5, false); }

// Ten thousand classes stand for ten thousand routes: the time is for bench/conf, the result is for here.
TEST(ConfModel, ALargeConfigurationIsReadWhole) {
  std::string text = kAlone;
  for (int i = 0; i < 10'000; ++i)
    text += "class c" + std::to_string(i) + " {\n  effect safe\n  aim 100ms\n  deadline 2s\n}\n";
  const Configuration c = read(text);
  EXPECT_TRUE(c.found.empty()) << messages(c).substr(0, 500);
  EXPECT_EQ(c.model.classes.size(), 10'002U);
}

}  // namespace
}  // namespace client_proxy::conf
