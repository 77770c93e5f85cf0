#include "greengage/protocol/configuration_delta.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

namespace greengage {
namespace {

// The text that an instance with `base` gets from one with `text`, by way of a
// serialized reply; nothing where the whole text has to be sent.
std::optional<std::string> Send(const std::string& base,
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

std::string SectionOf(int name, unsigned value) {
  return "[s " + std::to_string(name) +
         "]\n; comment\nk = " + std::to_string(value) + "\n" +
         (value % 2 == 0 ? "\n" : "");
}

}  // namespace

Test(ConfigurationDelta, KeepsEveryByteOfRandomTexts) {
  std::mt19937 random(20261204);
  for (int run = 0; run < 2000; ++run) {
    std::string base = run % 3 == 0 ? "; head\n\n" : "";
    std::string text = run % 5 == 0 ? "; other head\n" : "";
    for (int name = 0; name < 12; ++name) {
      const unsigned value = random() % 4;
      if (random() % 3 != 0) {
        base += SectionOf(name, value);
      }
      if (random() % 3 != 0) {
        text += SectionOf(name, random() % 4 == 0 ? value + 1 : value);
      }
    }
    cr_assert(Send(base, text) == text, "run %d", run);
  }
}

Test(ConfigurationDelta, SendsOnlyWhatChanged) {
  const std::string base = SectionOf(1, 1) + SectionOf(2, 2) + SectionOf(3, 3);
  const std::string text = SectionOf(1, 1) + SectionOf(2, 5) + SectionOf(4, 4);
  const auto delta = MakeDelta(base, text);
  cr_assert(delta.has_value());
  cr_assert(delta->changed.size() == 2);
  cr_assert(delta->changed.front().name == "s 2");
  cr_assert(delta->changed.back().previous == "s 2");
  cr_assert(delta->removed == std::vector<std::string>{"s 3"});
}

Test(ConfigurationDelta, RefusesAnotherBaseAndAnotherOrder) {
  const std::string base = SectionOf(1, 1) + SectionOf(2, 2);
  const auto delta = MakeDelta(base, SectionOf(1, 3) + SectionOf(2, 2));
  const auto applied = ApplyDelta(SectionOf(1, 1) + SectionOf(2, 4), *delta);
  cr_assert(!applied.ok());
  cr_assert(applied.last_reason().kind == FailureKind::kMalformedMessage);
  cr_assert(!MakeDelta(base, SectionOf(2, 2) + SectionOf(1, 1)));
  cr_assert(!MakeDelta(base + SectionOf(1, 1), base));
}

Test(ConfigurationDelta, SendsTheWholeTextWithoutABase) {
  ConfigurationReply reply;
  reply.version = 2;
  reply.text = SectionOf(1, 1);
  const auto read = ParseConfigurationReply(SerializeConfigurationReply(reply));
  cr_assert(read && !read->delta && read->version == 2);
  cr_assert(read->text == reply.text);
  cr_assert(!ParseConfigurationReply("\xff\xff").ok());
}

}  // namespace greengage
