#include "protocol/log_levels.h"

namespace greengage {

std::map<std::string, std::string> LogLevels() {
  std::map<std::string, std::string> levels;
  for (const char* level : {"trace", "debug", "info", "warn", "error"}) {
    levels[level] = level;
  }
  return levels;
}

}  // namespace greengage
