// The difference between two configuration texts, for sending it between
// instances.
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

// The lines of one section, verbatim, from its "[name]" up to the next one.
struct SectionText {
  std::string name;
  std::string text;
  // For a section that the base lacks: the one that it follows, or empty if it
  // stands first.
  std::string previous;
};

// What makes a base text into a new one.
struct ConfigurationDelta {
  std::string head;                  // The lines before the first section.
  std::vector<SectionText> changed;  // Also new ones, in the new order.
  std::vector<std::string> removed;
  uint64_t text_hash = 0;  // XXH3 of the whole new text.
};

// Nothing where a delta cannot tell the difference: sections that both texts
// have stand in another order, or a name stands twice.
std::optional<ConfigurationDelta> MakeDelta(std::string_view base,
                                            std::string_view text);

// The new text. Fails with kMalformedMessage if the outcome has not the hash
// of the new text, as with another base than that of MakeDelta().
Result<std::string> ApplyDelta(std::string_view base,
                               const ConfigurationDelta& delta);

// One answer to an instance that asks for a configuration: a delta to
// `base_version`, or the whole text if there is none.
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
