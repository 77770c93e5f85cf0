// Writes log lines to standard output without blocking on its reader.
#ifndef GREENGAGE_SRC_TRANSPORT_STDOUT_APPENDER_H_
#define GREENGAGE_SRC_TRANSPORT_STDOUT_APPENDER_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

// Lines are buffered and written in batches. Lines are dropped if the rate
// limit is exceeded or the buffer is full. A part of both is kept for the lines
// of one logger. Flush() reports the number of dropped lines in a separate
// line. log4cplus holds a lock during append().
class StdoutAppender : public log4cplus::Appender {
 public:
  // Lines of the logger `reserved_for` may use the reserved capacity.
  StdoutAppender(std::string process, std::string reserved_for);
  ~StdoutAppender() override;

  void close() override;

  // Returns true if more than half of the burst limit and of the buffer is
  // free.
  bool HasSpareCapacity();

  // Writes as much of the buffer as is possible without blocking.
  void Flush();

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void RefillTokens(TimePoint now);
  bool TakeToken(TimePoint now, double reserved);
  void WriteBuffer();
  void ReportDropped();

  const std::string process_;
  const std::string reserved_for_;
  std::string buffer_;
  double tokens_;
  TimePoint refilled_at_;
  uint64_t dropped_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_STDOUT_APPENDER_H_
