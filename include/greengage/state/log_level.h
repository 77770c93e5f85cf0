// Verbosity and format of a process's log.
#ifndef GREENGAGE_STATE_LOG_LEVEL_H_
#define GREENGAGE_STATE_LOG_LEVEL_H_

#include <cstdint>

namespace greengage {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };
enum class LogFormat : uint8_t { kText, kJson };

}  // namespace greengage

#endif  // GREENGAGE_STATE_LOG_LEVEL_H_
