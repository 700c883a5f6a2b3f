// The operators' language: its syntax, its units, its files put together.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "conf/loader.h"
#include "conf/syntax.h"
#include "conf/units.h"
#include "files/disk_source.h"

namespace client_proxy::conf {
namespace {

struct Memory : FileSource {
  std::map<std::string, std::string> files;
  std::optional<std::string> read(const std::string& path) override {
    const auto it = files.find(path);
    return it == files.end() ? std::nullopt : std::optional(it->second);
  }
  std::vector<std::string> match(const std::string& pattern) override {
    std::vector<std::string> all;  // "folder/*" only
    const std::string folder = pattern.substr(0, pattern.find('*'));
    for (const auto& [path, text] : files) {
      if (path.rfind(folder, 0) == 0) all.push_back(path);
    }
    return all;
  }
};

struct Parsed {
  explicit Parsed(std::string text) {
    const std::uint32_t file = sources.add("a.conf", std::move(text));
    document = parse(sources, file, found);
  }
  Sources sources;
  std::vector<Diagnostic> found;
  Document document;
};

std::string formatted(const std::string& text) {
  const Parsed p(text);
  EXPECT_TRUE(p.found.empty()) << render(p.found.front(), p.sources);
  return format(p.document);
}

Loaded loaded(std::map<std::string, std::string> files, const std::string& path = "main.conf") {
  Memory memory;
  memory.files = std::move(files);
  return load(memory, path);
}

std::string messages(const Loaded& l) {
  std::string all;
  for (const Diagnostic& d : l.found) all += render(d, l.sources);
  return all;
}

TEST(ConfSyntax, TheFormIsTheSameWhateverWasTyped) {
  const std::string expected =
      "# who may do what\n"
      "admission {\n"
      "  open 800  # at once\n"
      "  class swap-charge {\n"
      "    guaranteed 100\n"
      "    note \"a # in a \\\"string\\\"\"\n"
      "  }\n"
      "\n"
      "  # nothing yet\n"
      "}\n"
      "\n"
      "status 127.0.0.1:9901\n";
  EXPECT_EQ(
      formatted("# who may do what\nadmission{open 800;# at once\n\tclass   swap-charge {guaranteed 100;note "
                "\"a # in a \\\"string\\\"\"}\n\n\n\n  # nothing yet\n\n}\r\n\r\nstatus 127.0.0.1:9901"),
      expected);
  EXPECT_EQ(formatted(expected), expected);
}

TEST(ConfSyntax, AFileMayBeginWithAMarkAndEndAnywhere) {
  EXPECT_EQ(formatted("\xEF\xBB\xBF"
                      "a 1"),
            "a 1\n");
  EXPECT_EQ(formatted("a 1\r\nb 2\r\n"), "a 1\nb 2\n");
  EXPECT_EQ(formatted(""), "");
  EXPECT_EQ(formatted("# only this"), "# only this\n");
}

TEST(ConfSyntax, AllErrorsOfAFileAreFoundInOneRunAndTheRestIsRead) {
  const Parsed p("a \"x\nb 1\n}\nc \"\\q\"\nd 2\n");
  ASSERT_EQ(p.found.size(), 3U);
  EXPECT_EQ(p.found[0].at.line, 1U);
  EXPECT_EQ(p.found[1].at.line, 3U);
  EXPECT_EQ(p.found[2].at.line, 4U);
  ASSERT_EQ(p.document.statements.size(), 2U);
  EXPECT_EQ(p.document.statements[0].name().text, "b");
  EXPECT_EQ(p.document.statements[1].name().text, "d");
}

TEST(ConfSyntax, AMessageShowsTheLineAndThePlace) {
  const Parsed p("caf\xC3\xA9 \"x\n");
  ASSERT_EQ(p.found.size(), 1U);
  EXPECT_EQ(render(p.found[0], p.sources),
            "a.conf:1:7: error: this string does not end on its line; close it with '\"'\n"
            "  caf\xC3\xA9 \"x\n"
            "       ^~\n");
}

TEST(ConfSyntax, NestingHasABoundAndNoStackOverflows) {
  std::string deep;
  for (int i = 0; i < 10'000; ++i) deep += "a {\n";
  const Parsed p(deep);
  ASSERT_FALSE(p.found.empty());
  EXPECT_EQ(p.found.front().message, "blocks are nested more than 32 deep");
}

TEST(ConfSyntax, ALargeFileIsReadAndItsErrorsAreBounded) {
  std::string large;
  while (large.size() < 10'000'000) large += "route /swap-charge/{rider} pool charges \"\\z\"\n";
  const Parsed p(large);
  EXPECT_EQ(p.found.size(), kMostDiagnostics);
}

// Whatever bytes come: it ends, says where, and what it accepts survives its own form.
TEST(ConfSyntax, AnyBytesAreReadOrRefused) {
  std::mt19937 random(11);
  const std::string some[] = {"a",       "{",           "}",    ";",  "\n",
                              "\"",      "\\",          "#",    " ",  "\t",
                              "\r\n",    "\xC3\xA9",    "\xFF", "$x", std::string(1, '\0'),
                              "include", "\xED\xA0\x80"};
  int accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string text;
    for (auto n = random() % 24; n > 0; --n) text += some[random() % std::size(some)];
    const Parsed p(text);
    for (const Diagnostic& d : p.found) ASSERT_FALSE(render(d, p.sources).empty());
    if (!p.found.empty()) continue;
    ++accepted;
    const std::string once = format(p.document);
    const Parsed again(once);
    ASSERT_TRUE(again.found.empty()) << text << "\n---\n" << once;
    ASSERT_TRUE(sameMeaning(p.document, again.document)) << text << "\n---\n" << once;
    ASSERT_EQ(format(again.document), once) << text;
  }
  EXPECT_GT(accepted, 1000);
}

TEST(ConfUnits, EachValueIsReadWithItsUnit) {
  EXPECT_EQ(readDuration("250ms").value, 250'000);
  EXPECT_EQ(readDuration("1.5s").value, 1'500'000);
  EXPECT_EQ(readDuration("2m").value, 120'000'000);
  EXPECT_EQ(readSize("64KiB").value, 65536U);
  EXPECT_EQ(readSize("10kB").value, 10'000U);
  EXPECT_EQ(readSize("0.5MiB").value, 524288U);
  EXPECT_EQ(readRate("300/m").value, 5);
  EXPECT_EQ(readPercent("20%").value, 0.2);
  EXPECT_EQ(readCount("12", 1, 20).value, 12U);
  EXPECT_TRUE(readSwitch("on").value);
}

TEST(ConfUnits, WhatIsWrongIsSaidWithWhatToWrite) {
  const auto said = [](const auto& read) { return read.message + "; " + read.hint; };
  EXPECT_EQ(said(readDuration("250")), "'250' has no unit; write 250ms or 250s");
  EXPECT_EQ(said(readSize("64")), "'64' has no unit; write 64KiB or 64MiB");
  EXPECT_EQ(said(readRate("5")), "'5' has no unit; write 5/s or 5/m");
  EXPECT_EQ(said(readPercent("5")), "'5' has no unit; write 5%");
  EXPECT_EQ(said(readDuration("5 s")), "' s' is no unit of a time; known are us, ms, s, m, h");
  EXPECT_EQ(said(readDuration("5sec")), "'sec' is no unit of a time; known are us, ms, s, m, h");
  EXPECT_EQ(said(readDuration("fast")), "'fast' is no time; write a number and its unit, such as 20ms");
  EXPECT_EQ(said(readDuration("1.2.3s")), "'1.2.3s' is no time; write a number and its unit, such as 20ms");
  EXPECT_EQ(said(readDuration("0.5us")),
            "'0.5us' is finer than can be kept; write a whole number of the smallest unit");
  EXPECT_EQ(said(readDuration("9999h")), "'9999h' is too much; write at most 8784h");
  EXPECT_EQ(said(readCount("-1", 0, 9)), "'-1' is no whole number; write 0 to 9");
  EXPECT_EQ(said(readCount("10", 0, 9)), "'10' is out of bounds; write 0 to 9");
  EXPECT_EQ(said(readCount("99999999999999999999", 0, 9)),
            "'99999999999999999999' is too much; write 0 to 9");
  EXPECT_EQ(said(readSwitch("yes")), "'yes' is neither on nor off; write on or off");
}

TEST(ConfUnits, AMistypedWordFindsTheOneThatWasMeant) {
  const std::vector<std::string> known = {"deadline", "aim", "guaranteed", "weight"};
  EXPECT_EQ(nearest("deadlien", known), "deadline");
  EXPECT_EQ(nearest("garanteed", known), "guaranteed");
  EXPECT_EQ(nearest("aims", known), "aim");
  EXPECT_EQ(nearest("retries", known), "");
  EXPECT_EQ(nearest(std::string(100'000, 'x'), known), "");
}

TEST(ConfLoader, FilesAreIncludedInTheirPlaceRelativeToWhoIncludesThem) {
  const Loaded l = loaded({{"etc/main.conf", "a 1\nblock {\n include \"parts/*.conf\"\n}\nc 3\n"},
                           {"etc/parts/one.conf", "one 1\ninclude \"../shared.conf\"\n"},
                           {"etc/parts/two.conf", "two 2\n"},
                           {"etc/shared.conf", "shared 0\n"}},
                          "etc/main.conf");
  ASSERT_TRUE(l.found.empty()) << messages(l);
  EXPECT_EQ(format({l.statements, {}}), "a 1\nblock {\n  one 1\n  shared 0\n  two 2\n}\nc 3\n");
}

TEST(ConfLoader, ALoopIsNamedWithItsWholeChainWhateverTheFilesAreCalled) {
  const Loaded l = loaded({{"main.conf", "include \"./a.conf\"\n"},
                           {"a.conf", "x 1\ninclude \"sub/../b.conf\"\n"},
                           {"b.conf", "include \"c.conf\"\n"},
                           {"c.conf", "include \"a.conf\"\n"}});
  ASSERT_EQ(l.found.size(), 1U);
  EXPECT_EQ(l.found[0].message, "files include one another in a loop: a.conf -> b.conf -> c.conf -> a.conf");
  EXPECT_EQ(l.sources.name(l.found[0].at.file), "c.conf");
}

TEST(ConfLoader, AFileMayBeIncludedTwiceButNotWithoutEnd) {
  EXPECT_TRUE(loaded({{"main.conf", "include a.conf\ninclude a.conf\n"}, {"a.conf", "x 1\n"}}).found.empty());
  std::map<std::string, std::string> files;
  for (int i = 0; i < 40; ++i) {  // each doubles what the next is read
    const std::string next = std::to_string(i + 1) + ".conf";
    files[i == 0 ? "main.conf" : std::to_string(i) + ".conf"] =
        "include " + next + "\ninclude " + next + "\n";
  }
  files["40.conf"] = "x 1\n";
  const Loaded l = loaded(files);
  ASSERT_EQ(l.found.size(), 1U);
  EXPECT_EQ(l.found[0].message, "more than 1000 files are included");
}

TEST(ConfLoader, DefinedNamesStandForTheirValuesBeforeAndAfter) {
  const Loaded l = loaded({{"main.conf", "a $x\ndefine x \"1-$y\"\nb \"<$x>\" $$x\ninclude d.conf\n"},
                           {"d.conf", "define y 2\n"}});
  ASSERT_TRUE(l.found.empty()) << messages(l);
  EXPECT_EQ(format({l.statements, {}}), "a 1-2\nb \"<1-2>\" $x\n");
}

TEST(ConfLoader, ValuesMadeOfValuesHaveABound) {
  std::string text = "define v0 xxxxxxxxxx\n";
  for (int i = 1; i < 60; ++i) {
    const std::string before = "$v" + std::to_string(i - 1);
    text += "define v" + std::to_string(i) + " " + before + before + "\n";
  }
  const Loaded l = loaded({{"main.conf", text + "a $v59\n"}});
  ASSERT_FALSE(l.ok());
  EXPECT_EQ(l.found[0].message, "this value is longer than 4096 bytes");
}

std::string textOf(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<std::filesystem::path> corpus(const char* kind) {
  std::vector<std::filesystem::path> all;
  for (const auto& entry : std::filesystem::directory_iterator(std::filesystem::path(CONF_CORPUS) / kind)) {
    if (entry.path().extension() == ".conf") all.push_back(entry.path());
  }
  std::sort(all.begin(), all.end());
  return all;
}

TEST(ConfCorpus, EveryBrokenFileIsRefusedWithTheMessageBesideIt) {
  const auto files = corpus("broken");
  ASSERT_GE(files.size(), 30U);
  DiskSource disk;
  const std::filesystem::path before = std::filesystem::current_path();
  std::filesystem::current_path(std::filesystem::path(CONF_CORPUS) /
                                "broken");  // messages name what was given
  for (const auto& file : files) {
    if (file.filename().string().rfind("schema-", 0) == 0) continue;  // right as a text
    const Loaded l = load(disk, file.filename().string());
    EXPECT_FALSE(l.ok()) << file;
    EXPECT_EQ(messages(l), textOf(std::filesystem::path(file).replace_extension(".expected"))) << file;
  }
  std::filesystem::current_path(before);
}

TEST(ConfCorpus, EveryGoodFileIsInItsFormAlready) {
  const auto files = corpus("good");
  ASSERT_GE(files.size(), 3U);
  for (const auto& file : files) EXPECT_EQ(formatted(textOf(file)), textOf(file)) << file;
}

}  // namespace
}  // namespace client_proxy::conf
