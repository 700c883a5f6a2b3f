#include "conf/report.h"

#include <unordered_map>
#include <utility>

namespace client_proxy::conf {
namespace {

bool standsAlone(const Section& root) { return root.section("pool") != nullptr; }

Word word(std::string text) { return {std::move(text), false, {}}; }

// A block in which nothing is set.
Section emptySection(const Key& key) {
  Section none;
  none.block = key.block;
  none.kind = key.name;
  return none;
}

// ---- dump ----

// A file that is read in the place of its block is in the dump already, and would be read twice.
void addAsComments(const Statement& block, std::vector<std::string>& comments) {
  const std::string text = format({{block}, {}});
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t end = text.find('\n', from);
    comments.push_back("# " + text.substr(from, end - from));
    from = end + 1;
  }
}

// `rest`: comments that no statement follows.
std::vector<Statement> statementsOf(const Section& section, bool alone, std::vector<std::string>& rest);

Statement blockOf(const Section& section, bool alone) {
  Statement s;
  s.words.push_back(word(std::string(section.kind)));
  if (!section.name.empty()) s.words.push_back(word(section.name));
  if (!section.address.empty()) s.words.push_back(word(section.address));
  s.block = true;
  s.children = statementsOf(section, alone, s.last_comments);
  return s;
}

std::vector<Statement> statementsOf(const Section& section, bool alone, std::vector<std::string>& comments) {
  std::vector<Statement> out;
  const auto add = [&](Statement s) {
    s.comments = std::exchange(comments, {});
    out.push_back(std::move(s));
  };
  for (const Key& key : section.block->keys) {
    if (key.use == Use::Alone && !alone) continue;
    const std::string name(key.name);
    if (key.kind == Kind::Block) {
      const bool there = section.section(key.name) != nullptr;
      // One that can't do without a key is not the same empty as left out.
      if (!there && !key.block->named && key.block->lacksNothing()) add(blockOf(emptySection(key), alone));
      if (!there && !key.block->named && !key.block->lacksNothing())
        comments.push_back("# " + name + ": not there; " + std::string(key.otherwise));
      for (const Section& inner : section.sections) {
        if (inner.kind != key.name) continue;
        key.block->includes_file ? addAsComments(blockOf(inner, alone), comments)
                                 : add(blockOf(inner, alone));
      }
    } else if (const std::optional<Setting> value = section.find(key.name)) {
      Statement s;
      s.words = {word(name), word(value->text)};
      if (!value->set) s.remark = "# holds anyway";
      add(std::move(s));
    } else {
      comments.push_back("# " + name + ": not set; " + std::string(key.otherwise));
    }
  }
  return out;
}

// ---- compare ----

class Comparison {
 public:
  std::vector<Change> run(const Section& before, const Section& after) {
    sections(before, after, {});
    return std::move(out_);
  }

 private:
  static std::string pathTo(const std::string& where, const std::string& title) {
    return where.empty() ? title : where + ", " + title;
  }

  void add(const std::string& where, std::string what, std::string_view risk, const Key& key) {
    out_.push_back({where, std::move(what), std::string(risk), !key.live});
  }

  void sections(const Section& before, const Section& after, const std::string& where) {
    for (const Key& key : after.block->keys) {
      if (key.kind == Kind::Block) {
        key.block->named ? named(key, before, after, where) : single(key, before, after, where);
      } else {
        value(key, before, after, where);
      }
    }
  }

  void value(const Key& key, const Section& before, const Section& after, const std::string& where) {
    const std::optional<Setting> old = before.find(key.name), now = after.find(key.name);
    if (!old && !now) return;
    if (old && now && old->text == now->text) return;
    const auto shown = [&](const std::optional<Setting>& s) {
      return s ? s->text
               : "(" + (key.otherwise.empty() ? std::string("not set") : std::string(key.otherwise)) + ")";
    };
    std::string_view risk;
    if (old && now) {
      const bool ordered = key.kind != Kind::Name && key.kind != Kind::Text && key.kind != Kind::Address;
      risk = !ordered || now->number > old->number ? key.risk_up : key.risk_down;
    } else if (key.bound) {
      risk = now ? key.risk_down : key.risk_up;
    }
    add(where, std::string(key.name) + " " + shown(old) + " -> " + shown(now), risk, key);
  }

  void single(const Key& key, const Section& before, const Section& after, const std::string& where) {
    const Section none = emptySection(key);
    const Section* const old = before.section(key.name);
    const Section* const now = after.section(key.name);
    sections(old != nullptr ? *old : none, now != nullptr ? *now : none,
             pathTo(where, std::string(key.name)));
  }

  using Names = std::unordered_map<std::string_view, const Section*>;
  static Names namesOf(const Section& in, const Key& key) {
    Names names;
    for (const Section& s : in.sections) {
      if (s.kind == key.name) names.emplace(s.name, &s);
    }
    return names;
  }
  static const Section* at(const Names& names, const std::string& name) {
    const auto it = names.find(name);
    return it == names.end() ? nullptr : it->second;
  }

  static std::string whole(const Section& s) {
    std::string all = s.title();
    if (!s.address.empty()) all += " " + s.address;
    std::string values;
    for (const Setting& v : s.settings) {
      values += values.empty() ? " (" : ", ";
      values += v.key->name;
      values += " " + v.text;
    }
    if (!values.empty()) all += values + ")";
    return all;
  }

  void named(const Key& key, const Section& before, const Section& after, const std::string& where) {
    const Names olds = namesOf(before, key), news = namesOf(after, key);
    for (const Section& old : before.sections) {
      if (old.kind == key.name && at(news, old.name) == nullptr)
        add(where, "- " + whole(old), key.risk_down, key);
    }
    for (const Section& now : after.sections) {
      if (now.kind != key.name) continue;
      const Section* const old = at(olds, now.name);
      if (old == nullptr) {
        add(where, "+ " + whole(now), key.risk_up, key);
        for (const Section& inner : now.sections)
          add(pathTo(where, now.title()), "+ " + whole(inner), {}, key);
        continue;
      }
      const std::string path = pathTo(where, now.title());
      if (old->address != now.address) add(path, "address " + old->address + " -> " + now.address, {}, key);
      sections(*old, now, path);
    }
  }

  std::vector<Change> out_;
};

// ---- explain ----

class Explanation {
 public:
  explicit Explanation(const Configuration& c) : c_(c), alone_(standsAlone(c.root)) {}

  std::string run(std::string_view request_class, std::string_view account) {
    part("class", request_class,
         alone_ ? "not there: answered 404" : "as the platform says (PROXY_CONFIG); no shares of its own");
    part("tenant", account, "not known: it counts as one with all others that are not");
    for (const Section& s : c_.root.sections) {
      if (s.kind == "pool") section(s);
    }
    for (const char* const kind : {"clients", "upstream", "admission", "limits"}) {
      const Section* const s = c_.root.section(kind);
      section(s != nullptr ? *s : emptySection(*c_.root.block->find(kind)));
    }
    return std::move(out_);
  }

 private:
  void part(const std::string& kind, std::string_view name, const char* without) {
    for (const Section& s : c_.root.sections) {
      if (s.kind == kind && s.name == name) return section(s);
    }
    out_ += kind + " " + (name.empty() ? "(none)" : std::string(name)) + ": " + without + "\n";
  }

  void section(const Section& s) {
    out_ += s.title();
    if (s.at.line > 0 && !s.name.empty()) out_ += "  (" + c_.sources.lineOf(s.at) + ")";
    out_ += '\n';
    for (const Key& key : s.block->keys) {
      if (key.kind == Kind::Block || (key.use == Use::Alone && !alone_)) continue;
      std::string line = "  " + std::string(key.name) + " ";
      const std::optional<Setting> value = s.find(key.name);
      line += value ? value->text : std::string(key.otherwise);
      line += value && value->set ? "  (" + c_.sources.lineOf(value->at) + ")"
              : value             ? "  (holds anyway)"
                                  : "  (not set)";
      out_ += line + '\n';
    }
    for (const Section& inner : s.sections) {
      out_ += "  " + inner.title() + " " + inner.address + "  (" + c_.sources.lineOf(inner.at) + ")\n";
    }
  }

  const Configuration& c_;
  bool alone_;
  std::string out_;
};

// ---- the reference page ----

std::string valueText(const Key& key) {
  switch (key.kind) {
    case Kind::Duration:
      return "time";
    case Kind::Size:
      return "size";
    case Kind::Percent:
      return "percentage";
    case Kind::Number:
      return "number";
    case Kind::Count:
      return "whole number";
    case Kind::Name:
      return "name";
    case Kind::Text:
      return "text";
    case Kind::Address:
      return "address and port";
    case Kind::Block:
      return {};
    case Kind::Choice:
      break;
  }
  std::string all;
  for (const char c : key.choices) c == ' ' ? all += ", " : all += c;
  return all;
}

void describe(const Key& owner, const std::string& heading, std::string& out) {
  const Block& block = *owner.block;
  out += "\n## " + heading + "\n\n" + std::string(owner.about) + "\n\n";
  out += "| key | value | without it | reload | meaning |\n| --- | --- | --- | --- | --- |\n";
  for (const Key& key : block.keys) {
    if (key.kind == Kind::Block) continue;
    out += "| `" + std::string(key.name) + "` | " + valueText(key) + " | ";
    if (key.required) {
      out += "must be there";
    } else if (!key.fallback.empty()) {
      out += "`" + std::string(key.fallback) + "`";
    } else {
      out += key.otherwise;
    }
    out += key.live ? " | yes | " : " | restart | ";
    out += std::string(key.about) + (key.use == Use::Alone ? " *Alone.*" : "") + " |\n";
  }
  for (const Key& key : block.keys) {
    if (key.kind != Kind::Block) continue;
    std::string inner = heading == "The top" ? "" : heading + " / ";
    inner += "`" + std::string(key.name);
    if (key.block->named) inner += " NAME";
    if (key.block->address) inner += " ADDRESS:PORT";
    describe(key, inner + "`", out);
  }
}

}  // namespace

std::string dump(const Section& root) {
  Document document;
  document.statements = statementsOf(root, standsAlone(root), document.last_comments);
  return format(document);
}

std::string Change::text() const {
  std::string all = where.empty() ? what : where + ": " + what;
  if (!risk.empty()) all += "; risk: " + risk;
  if (restart) all += "; takes effect at a restart";
  return all;
}

std::vector<Change> compare(const Section& before, const Section& after) {
  return Comparison().run(before, after);
}

std::string explain(const Configuration& configuration, std::string_view request_class,
                    std::string_view account) {
  return Explanation(configuration).run(request_class, account);
}

std::string reference() {
  std::string out =
      "# Configuration: the reference\n\n"
      "Made by `client-proxy reference` from the schema (`src/conf/schema.cpp`); the guide is "
      "`docs/configuration.md`.\n"
      "*Alone*: only in a file that holds a pool, which needs no configuration of a platform.\n";
  const Key top = {.name = "", .kind = Kind::Block, .about = "What stands in no block.", .block = &kRoot};
  describe(top, "The top", out);
  return out;
}

}  // namespace client_proxy::conf
