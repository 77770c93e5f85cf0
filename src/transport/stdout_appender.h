// Writes log lines to standard output without ever waiting for its reader.
#ifndef GREENGAGE_SRC_TRANSPORT_STDOUT_APPENDER_H_
#define GREENGAGE_SRC_TRANSPORT_STDOUT_APPENDER_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

// Lines are gathered and written together. Beyond the rate, or where the
// reader is slow and the buffer full, they are dropped; how many were dropped
// is written as a line of its own once there is room. log4cplus holds a lock
// around append().
class StdoutAppender : public log4cplus::Appender {
 public:
  explicit StdoutAppender(std::string process);
  ~StdoutAppender() override;

  void close() override;

  // Whether at least half of the lines that may come at once are left.
  bool HasSpareCapacity();

  // Writes what has been gathered, as far as it can be done at once.
  void Flush();

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void EarnTokens(TimePoint now);
  bool TakeToken(TimePoint now);
  void WriteSome();
  void ReportDropped();

  const std::string process_;
  std::string buffer_;
  double tokens_;
  TimePoint tokens_at_;
  uint64_t dropped_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_STDOUT_APPENDER_H_
