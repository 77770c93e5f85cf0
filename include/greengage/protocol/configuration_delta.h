// Deltas between two configuration texts, exchanged between instances.
#ifndef GREENGAGE_PROTOCOL_CONFIGURATION_DELTA_H_
#define GREENGAGE_PROTOCOL_CONFIGURATION_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/hybrid_clock.h"
#include "greengage/state/result.h"

namespace greengage {

// The verbatim lines of one section, from its "[name]" line up to the next
// section.
struct SectionText {
  std::string name;
  std::string text;
  // Only for a section that the base lacks: the name of the section that it
  // follows, or empty if it is the first one.
  std::string previous;
};

// The changes that turn a base text into a new text.
struct ConfigurationDelta {
  std::string head;                  // The lines before the first section.
  std::vector<SectionText> changed;  // Changed and new ones, in the new order.
  std::vector<std::string> removed;
  uint64_t text_hash = 0;  // XXH3 (64 bits) of the whole new text.
};

// Returns nothing if no delta can express the difference: the sections common
// to both texts are ordered differently, or a section name occurs twice.
std::optional<ConfigurationDelta> MakeDelta(std::string_view base,
                                            std::string_view text);

// Returns the new text. Fails with kMalformedMessage if the hash of the result
// differs from `text_hash`, for example because `base` is not the text that was
// given to MakeDelta().
Result<std::string> ApplyDelta(std::string_view base,
                               const ConfigurationDelta& delta);

// Answer to a configuration request of an instance: a delta to `base_version`,
// or the whole text if `delta` is empty.
struct ConfigurationReply {
  HybridTime stamp;
  uint64_t version = 0;
  uint64_t base_version = 0;
  std::string text;
  std::optional<ConfigurationDelta> delta;
};

std::string SerializeConfigurationReply(const ConfigurationReply& reply);

// Fails with kMalformedMessage.
Result<ConfigurationReply> ParseConfigurationReply(std::string_view message);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CONFIGURATION_DELTA_H_
