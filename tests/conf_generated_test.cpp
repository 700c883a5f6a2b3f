// Properties over generated configurations (RapidCheck), and over every file that was ever found to be hard.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "conf/report.h"
#include "conf_property.h"

namespace client_proxy::conf {
namespace {

namespace fs = std::filesystem;

// Values with everything that needs quotes or escapes.
rc::Gen<std::string> values() {
  const auto piece =
      rc::gen::elementOf(std::vector<std::string>{"a", "B", "7", " ", "\"", "\\", "{", "}", ";", "#", "\n",
                                                  "\t", "$$", "-", "/", "\xC3\xA9", "\xE2\x82\xAC"});
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                      [](const std::vector<std::string>& all) {
                        std::string text;
                        for (const std::string& p : all) text += p;
                        return text;
                      });
}

rc::Gen<std::string> plain() {
  return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

rc::Gen<std::vector<std::string>> comments() {
  const auto line = rc::gen::oneOf(rc::gen::just(std::string()),
                                   rc::gen::map(plain(), [](const std::string& t) { return "# " + t; }));
  return rc::gen::resize(3, rc::gen::container<std::vector<std::string>>(line));
}

rc::Gen<std::vector<Statement>> statements(int depth);

rc::Gen<Statement> statement(int depth) {
  return rc::gen::exec([depth] {
    Statement s;
    s.words.push_back({*plain(), false, {}});
    for (const std::string& v : *rc::gen::resize(4, rc::gen::container<std::vector<std::string>>(values())))
      s.words.push_back({v, true, {}});
    s.comments = *comments();
    if (*rc::gen::arbitrary<bool>()) s.remark = "# " + *plain();
    s.block = depth > 0 && *rc::gen::arbitrary<bool>();
    if (!s.block) return s;
    s.children = *statements(depth - 1);
    s.last_comments = *comments();
    return s;
  });
}

rc::Gen<std::vector<Statement>> statements(int depth) {
  return rc::gen::resize(5, rc::gen::container<std::vector<Statement>>(statement(depth)));
}

struct Reread {
  Sources sources;
  std::vector<Diagnostic> found;
  Document document;
};

Reread reread(const std::string& text) {
  Reread r;
  const std::uint32_t file = r.sources.add("a.conf", text);
  r.document = parse(r.sources, file, r.found);
  return r;
}

RC_GTEST_PROP(ConfGenerated, WhatIsFormattedReadsAsWhatWasMeantAndIsInItsForm, ()) {
  const Document meant{*statements(3), *comments()};
  const Reread once = reread(format(meant));  // blank lines as nobody would write them: not in its form yet
  RC_ASSERT(once.found.empty());
  RC_ASSERT(sameMeaning(once.document, meant));
  const std::string formed = format(once.document);
  const Reread twice = reread(formed);
  RC_ASSERT(twice.found.empty());
  RC_ASSERT(sameMeaning(twice.document, once.document));
  RC_ASSERT(format(twice.document) == formed);
}

// Files of the language's own pieces in any order.
RC_GTEST_PROP(ConfGenerated, AnyPiecesAreReadOrRefused, ()) {
  std::vector<std::string> pieces = {" ",
                                     "\n",
                                     "{",
                                     "}",
                                     ";",
                                     "#",
                                     "\"",
                                     "\\",
                                     "$x",
                                     "$$",
                                     "define x 1",
                                     "include again.conf",
                                     "800",
                                     "250ms",
                                     "20%",
                                     "\xFF",
                                     "127.0.0.1:80",
                                     "unsafe",
                                     "keyed",
                                     "safe",
                                     "on"};
  const auto collect = [&](const auto& self, const Block& block) -> void {
    for (const Key& key : block.keys) {
      pieces.emplace_back(key.name);
      if (key.block != nullptr) self(self, *key.block);
    }
  };
  collect(collect, kRoot);
  const auto chosen = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces));
  std::string text;
  for (const std::string& p : chosen) text += p + (text.size() % 3 == 0 ? "" : " ");
  RC_ASSERT(brokenProperty(text) == "");
}

// Whole configurations that stand alone: what is dumped is the same, whatever was set.
RC_GTEST_PROP(ConfGenerated, WhatIsDumpedIsTheSameConfiguration, ()) {
  const auto ms = [](int least, int most) { return std::to_string(*rc::gen::inRange(least, most)) + "ms"; };
  std::string text = "listen 127.0.0.1:" + std::to_string(*rc::gen::inRange(1, 65536)) + "\n";
  const int classes = *rc::gen::inRange(1, 5), hosts = *rc::gen::inRange(1, 6);
  for (int i = 0; i < classes; ++i) {
    const std::string idempotency = *rc::gen::elementOf(std::vector<std::string>{"safe", "unsafe", "keyed"});
    text += "class c" + std::to_string(i) + " {\neffect " + idempotency + "\naim " + ms(1, 1000) +
            "\ndeadline " + ms(1000, 100'000) + "\n";
    if (idempotency == "keyed") text += "window " + ms(1, 10'000) + "\n";
    if (*rc::gen::arbitrary<bool>()) text += "worth " + std::to_string(*rc::gen::inRange(0, 1000)) + ".25\n";
    text += "}\n";
  }
  text += "pool p {\n";
  for (int i = 0; i < hosts; ++i)
    text += "host h" + std::to_string(i) + " 10.0.0." + std::to_string(i + 1) + ":80\n";
  if (*rc::gen::arbitrary<bool>()) text += "cold-from " + std::to_string(*rc::gen::inRange(1, 100)) + "%\n";
  text += "}\nlimits {\nmemory " + std::to_string(*rc::gen::inRange(32, 100'000)) + "MiB\n}\n";
  RC_ASSERT(brokenProperty(text) == "");
}

TEST(ConfCorpus, WhatMustHoldOfAnyBytesHoldsOfEveryFile) {
  std::size_t seen = 0;
  for (const auto& entry : fs::recursive_directory_iterator(CONF_CORPUS)) {
    if (!entry.is_regular_file()) continue;
    std::ostringstream text;
    text << std::ifstream(entry.path(), std::ios::binary).rdbuf();
    EXPECT_EQ(brokenProperty(text.str()), "") << entry.path();
    ++seen;
  }
  EXPECT_GT(seen, 150U);
}

}  // namespace
}  // namespace client_proxy::conf
