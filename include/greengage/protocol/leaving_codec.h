// Headers that say which searchers leave, in answers between instances.
#ifndef GREENGAGE_PROTOCOL_LEAVING_CODEC_H_
#define GREENGAGE_PROTOCOL_LEAVING_CODEC_H_

#include <vector>

#include "greengage/protocol/header_list.h"
#include "greengage/state/searcher_entry.h"

namespace greengage {

// Replaces the headers that say which searchers leave: one for each entry, with
// the members that identify its process. An entry that has spaces or control
// characters in its names is left out.
void SetLeavingSearchers(const std::vector<SearcherEntry>& leaving,
                         HeaderList& headers);

// Removes the headers that SetLeavingSearchers() adds, and returns the entries,
// which are draining and have no other members than those that identify the
// process. Malformed headers are ignored.
std::vector<SearcherEntry> TakeLeavingSearchers(HeaderList& headers);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_LEAVING_CODEC_H_
