#include "greengage/protocol/configuration_delta.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

namespace greengage {
namespace {

// Returns the text that an instance with `base` receives from one with `text`
// through a serialized reply, or nothing if the delta is impossible and the
// whole text has to be sent.
std::optional<std::string> SendDelta(const std::string& base,
                                     const std::string& text) {
  ConfigurationReply reply;
  reply.version = 2;
  reply.base_version = 1;
  reply.delta = MakeDelta(base, text);
  if (!reply.delta) {
    return std::nullopt;
  }
  const auto read = ParseConfigurationReply(SerializeConfigurationReply(reply));
  cr_assert(read && read->delta && read->base_version == 1);
  const auto applied = ApplyDelta(base, *read->delta);
  cr_assert(applied.ok(), "%s", Describe(applied.last_reason()).c_str());
  return *applied;
}

std::string MakeSection(int name, unsigned value) {
  return "[s " + std::to_string(name) +
         "]\n; comment\nk = " + std::to_string(value) + "\n" +
         (value % 2 == 0 ? "\n" : "");
}

}  // namespace

Test(ConfigurationDelta, ReproducesRandomTextsExactly) {
  std::mt19937 random(20261204);
  for (int run = 0; run < 2000; ++run) {
    std::string base = run % 3 == 0 ? "; head\n\n" : "";
    std::string text = run % 5 == 0 ? "; other head\n" : "";
    for (int name = 0; name < 12; ++name) {
      const unsigned value = random() % 4;
      if (random() % 3 != 0) {
        base += MakeSection(name, value);
      }
      if (random() % 3 != 0) {
        text += MakeSection(name, random() % 4 == 0 ? value + 1 : value);
      }
    }
    cr_assert(SendDelta(base, text) == text, "run %d", run);
  }
}

Test(ConfigurationDelta, ContainsOnlyChangedSections) {
  const std::string base =
      MakeSection(1, 1) + MakeSection(2, 2) + MakeSection(3, 3);
  const std::string text =
      MakeSection(1, 1) + MakeSection(2, 5) + MakeSection(4, 4);
  const auto delta = MakeDelta(base, text);
  cr_assert(delta.has_value());
  cr_assert(delta->changed.size() == 2);
  cr_assert(delta->changed.front().name == "s 2");
  cr_assert(delta->changed.back().previous == "s 2");
  cr_assert(delta->removed == std::vector<std::string>{"s 3"});
}

Test(ConfigurationDelta, RejectsDifferentBaseAndReorderedSections) {
  const std::string base = MakeSection(1, 1) + MakeSection(2, 2);
  const auto delta = MakeDelta(base, MakeSection(1, 3) + MakeSection(2, 2));
  const auto applied =
      ApplyDelta(MakeSection(1, 1) + MakeSection(2, 4), *delta);
  cr_assert(!applied.ok());
  cr_assert(applied.last_reason().kind == FailureKind::kMalformedMessage);
  cr_assert(!MakeDelta(base, MakeSection(2, 2) + MakeSection(1, 1)));
  cr_assert(!MakeDelta(base + MakeSection(1, 1), base));
}

Test(ConfigurationDelta, ReplyWithoutBaseContainsWholeText) {
  ConfigurationReply reply;
  reply.version = 2;
  reply.text = MakeSection(1, 1);
  const auto read = ParseConfigurationReply(SerializeConfigurationReply(reply));
  cr_assert(read && !read->delta && read->version == 2);
  cr_assert(read->text == reply.text);
  cr_assert(!ParseConfigurationReply("\xff\xff").ok());
}

}  // namespace greengage
