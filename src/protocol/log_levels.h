// The levels of the log, as they stand in files.
#ifndef GREENGAGE_SRC_PROTOCOL_LOG_LEVELS_H_
#define GREENGAGE_SRC_PROTOCOL_LOG_LEVELS_H_

#include <map>
#include <string>

namespace greengage {

// Allowed names, each mapped to itself.
std::map<std::string, std::string> LogLevels();

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_LOG_LEVELS_H_
