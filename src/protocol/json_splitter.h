// Splits JSON text into the texts of its parts, without parsing these.
#ifndef GREENGAGE_SRC_PROTOCOL_JSON_SPLITTER_H_
#define GREENGAGE_SRC_PROTOCOL_JSON_SPLITTER_H_

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace greengage {

// A parser rejects a document as a whole if one string, number or level of
// nesting in it is invalid. These functions only look at quotes, escapes and
// brackets, so that each part can be parsed by itself. They do not recurse.

// The texts of a name, with its quotes, and of its value.
using JsonMember = std::pair<std::string_view, std::string_view>;

// Return the parts of `text`, in their order, or nothing if it is not an object
// or an array.
std::optional<std::vector<JsonMember>> SplitObject(std::string_view text);
std::optional<std::vector<std::string_view>> SplitArray(std::string_view text);

// Returns the value of the last member of that name, or an empty text. `name`
// must have no characters that JSON escapes.
std::string_view FindMember(const std::vector<JsonMember>& members,
                            std::string_view name);

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_JSON_SPLITTER_H_
