#include "conf/syntax.h"

#include <algorithm>
#include <utility>

namespace client_proxy::conf {
namespace {

enum class Kind : std::uint8_t { Word, Open, Close, End, Newline, Comment, Eof, Bad };

struct Token {
  Kind kind = Kind::Eof;
  Word word;         // for Word
  std::string text;  // for Comment
  Place at;
};

bool isSpace(char c) { return c == ' ' || c == '\t' || c == '\r'; }
bool endsWord(char c) {
  return isSpace(c) || c == '\n' || c == '"' || c == '{' || c == '}' || c == ';' || c == '#';
}

class Lexer {
 public:
  Lexer(std::string_view text, std::uint32_t file, std::vector<Diagnostic>& found)
      : text_(text), file_(file), found_(found) {
    if (text_.substr(0, 3) == "\xEF\xBB\xBF") at_ = line_start_ = 3;
  }

  Token next() {
    while (at_ < text_.size() && isSpace(text_[at_])) ++at_;
    Token t;
    t.at = here();
    if (at_ >= text_.size()) return t;
    const char c = text_[at_];
    if (c == '"') return string();
    if (c == '#') return comment();
    if (!endsWord(c)) return word();
    ++at_;
    t.kind = c == '{' ? Kind::Open : c == '}' ? Kind::Close : c == ';' ? Kind::End : Kind::Newline;
    if (c == '\n') ++line_, line_start_ = at_;
    return t;
  }

  void error(Place at, std::string message, std::string hint = {}) {
    if (found_.size() < kMostDiagnostics)
      found_.push_back({Severity::Error, at, std::move(message), std::move(hint)});
  }

 private:
  Place here() const { return {file_, line_, static_cast<std::uint32_t>(at_ - line_start_ + 1), 1}; }
  std::string_view rest() const { return text_.substr(at_); }

  // Appends one character; false, with an error, if it may not stand in a text.
  bool take(std::string& to) {
    const std::size_t length = utf8Length(rest());
    const auto byte = static_cast<unsigned char>(text_[at_]);
    const bool control = byte < 0x20 || byte == 0x7F;
    if (length > 0 && !(control && byte != '\t')) {
      to.append(text_, at_, length);
      at_ += length;
      return true;
    }
    error(here(), control ? "a control character can't stand here" : "this is not valid UTF-8",
          control ? "delete it" : "save the file as UTF-8");
    ++at_;
    return false;
  }

  Token word() {
    Token t{Kind::Word, {}, {}, here()};
    bool good = true;
    const std::size_t begin = at_;
    while (at_ < text_.size() && !endsWord(text_[at_])) good = take(t.word.text) && good;
    t.at.length = static_cast<std::uint32_t>(at_ - begin);
    t.word.at = t.at;
    if (!good) t.kind = Kind::Bad;
    return t;
  }

  Token string() {
    Token t{Kind::Word, {}, {}, here()};
    t.word.quoted = true;
    bool good = true;
    const std::size_t begin = at_++;
    while (at_ < text_.size() && text_[at_] != '"' && text_[at_] != '\n') {
      if (text_[at_] == '\r' && at_ + 1 < text_.size() && text_[at_ + 1] == '\n') break;
      if (text_[at_] != '\\') {
        good = take(t.word.text) && good;
        continue;
      }
      const char c = at_ + 1 < text_.size() ? text_[at_ + 1] : '\n';
      if (c == '\n' || c == '\r') {
        ++at_;
        continue;
      }
      const std::string_view from = "\"\\nt", to = "\"\\\n\t";
      const std::size_t known = from.find(c);
      if (known == std::string_view::npos) {
        error(here(), std::string("there is no escape '\\") + (c < 0x20 ? '?' : c) + "'",
              "known are \\\" \\\\ \\n \\t");
        good = false;
        at_ += 1;
        continue;
      }
      t.word.text += to[known];
      at_ += 2;
    }
    const bool closed = at_ < text_.size() && text_[at_] == '"';
    if (closed) ++at_;
    t.at.length = static_cast<std::uint32_t>(at_ - begin);
    t.word.at = t.at;
    if (!closed) error(t.at, "this string does not end on its line", "close it with '\"'");
    if (closed && good && at_ < text_.size() && (text_[at_] == '"' || !endsWord(text_[at_]))) {
      error(here(), "something stands directly behind a string", "put a space between them");
      good = false;
    }
    if (!closed || !good) t.kind = Kind::Bad;
    return t;
  }

  Token comment() {
    Token t{Kind::Comment, {}, {}, here()};
    bool good = true;
    while (good && at_ < text_.size() && text_[at_] != '\n') {
      if (text_[at_] == '\r') {
        ++at_;
      } else {
        good = take(t.text);
      }
    }
    while (!good && at_ < text_.size() && text_[at_] != '\n') ++at_;
    while (!t.text.empty() && isSpace(t.text.back())) t.text.pop_back();
    return t;
  }

  std::string_view text_;
  std::uint32_t file_;
  std::vector<Diagnostic>& found_;
  std::size_t at_ = 0, line_start_ = 0;
  std::uint32_t line_ = 1;
};

class Parser {
 public:
  Parser(std::string_view text, std::uint32_t file, std::vector<Diagnostic>& found)
      : lexer_(text, file, found) {
    advance();
  }

  Document document() {
    Document d;
    for (;;) {
      block(d.statements, d.last_comments, 0);
      if (token_.kind != Kind::Close) return d;
      lexer_.error(token_.at, "this '}' closes nothing",
                   "delete it, or look for a '{' that is missing above");
      advance();
    }
  }

 private:
  void advance() { token_ = lexer_.next(); }

  // Statements up to a closing brace or the end; neither is taken.
  void block(std::vector<Statement>& into, std::vector<std::string>& last, std::size_t depth) {
    std::vector<std::string> comments = std::exchange(last, {});
    std::size_t newlines = 0;
    for (;;) {
      switch (token_.kind) {
        case Kind::Eof:
        case Kind::Close:
          if (!comments.empty() && comments.back().empty()) comments.pop_back();
          last = std::move(comments);
          return;
        case Kind::Newline:
          // One blank line is kept, but none at the start of a block.
          if (++newlines > 1 && (comments.empty() ? !into.empty() : !comments.back().empty()))
            comments.emplace_back();
          advance();
          break;
        case Kind::End:
          advance();
          break;
        case Kind::Comment:
          comments.push_back(std::move(token_.text));
          newlines = 0;
          advance();
          break;
        default: {
          Statement s;
          s.comments = std::exchange(comments, {});
          if (statement(s, depth)) into.push_back(std::move(s));
          newlines = 0;
        }
      }
    }
  }

  bool statement(Statement& s, std::size_t depth) {
    bool good = true;
    while (token_.kind == Kind::Word || token_.kind == Kind::Bad) {
      good = good && token_.kind == Kind::Word;
      s.words.push_back(std::move(token_.word));
      advance();
    }
    if (s.words.empty()) {
      lexer_.error(token_.at, "a block needs a name before its '{'", "write 'NAME {' on one line");
      good = false;
    } else if (good && s.name().quoted) {
      lexer_.error(s.name().at, "a statement begins with a plain word, not with a string",
                   "delete the quotes");
      good = false;
    }
    if (token_.kind == Kind::Open) return body(s, depth) && good;
    if (token_.kind == Kind::End) advance();
    if (token_.kind == Kind::Comment) s.remark = std::move(token_.text), advance();
    return good;
  }

  bool body(Statement& s, std::size_t depth) {
    const Place open = token_.at;
    s.block = true;
    advance();
    if (depth + 1 > kDeepest) {
      lexer_.error(open, "blocks are nested more than " + std::to_string(kDeepest) + " deep",
                   "close some before");
      skipBlock();
      return false;
    }
    if (token_.kind == Kind::Comment) s.remark = std::move(token_.text), advance();
    block(s.children, s.last_comments, depth + 1);
    if (token_.kind != Kind::Close) {
      lexer_.error(open, "this '{' is never closed", "add '}' where the block ends");
      return false;
    }
    advance();
    // A comment behind the closing brace belongs to the block too.
    if (token_.kind == Kind::Comment) s.last_comments.push_back(std::move(token_.text)), advance();
    return true;
  }

  void skipBlock() {
    for (std::size_t open = 1; open > 0 && token_.kind != Kind::Eof; advance()) {
      open += token_.kind == Kind::Open ? 1 : 0;
      open -= token_.kind == Kind::Close ? 1 : 0;
    }
  }

  Lexer lexer_;
  Token token_;
};

void write(const Word& word, std::string& out) {
  const bool plain = !word.quoted && !word.text.empty();
  if (plain) {
    out += word.text;
    return;
  }
  out += '"';
  for (const char c : word.text) {
    switch (c) {
      case '"':
      case '\\':
        out += '\\';
        out += c;
        break;
      case '\n':
        out += "\\n";
        break;
      case '\t':
        out += "\\t";
        break;
      default:
        out += c;
    }
  }
  out += '"';
}

void write(const std::vector<std::string>& comments, std::size_t depth, std::string& out) {
  for (const std::string& c : comments) {
    if (!c.empty()) out.append(2 * depth, ' ');
    out += c;
    out += '\n';
  }
}

void write(const std::vector<Statement>& statements, std::size_t depth, std::string& out) {
  for (const Statement& s : statements) {
    write(s.comments, depth, out);
    out.append(2 * depth, ' ');
    for (const Word& w : s.words) {
      if (&w != &s.words.front()) out += ' ';
      write(w, out);
    }
    if (s.block) out += " {";
    if (!s.remark.empty()) {
      out += "  ";
      out += s.remark;
    }
    out += '\n';
    if (!s.block) continue;
    write(s.children, depth + 1, out);
    write(s.last_comments, depth + 1, out);
    out.append(2 * depth, ' ');
    out += "}\n";
  }
}

bool same(const std::vector<Statement>& a, const std::vector<Statement>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const Statement& x, const Statement& y) {
    return x.block == y.block && same(x.children, y.children) &&
           std::equal(x.words.begin(), x.words.end(), y.words.begin(), y.words.end(),
                      [](const Word& v, const Word& w) { return v.text == w.text && v.quoted == w.quoted; });
  });
}

}  // namespace

Document parse(const Sources& sources, std::uint32_t file, std::vector<Diagnostic>& found) {
  return Parser(sources.text(file), file, found).document();
}

std::string format(const Document& document) {
  std::string out;
  write(document.statements, 0, out);
  write(document.last_comments, 0, out);
  return out;
}

bool sameMeaning(const Document& a, const Document& b) { return same(a.statements, b.statements); }

}  // namespace client_proxy::conf
