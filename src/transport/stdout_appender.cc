#include "transport/stdout_appender.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <sstream>
#include <utility>

#include "greengage/state/decision_event.h"
#include "transport/clock.h"

namespace greengage {
namespace {

// Rate and burst limit of lines. A busy instance answers some dozens of
// requests per second, and only few of them are logged.
constexpr double kLinesPerSecond = 200;
constexpr double kBurstLines = 400;

// Part of the burst limit that is kept for the lines of one logger, which
// writes fewer in the life of a process.
constexpr double kReservedLines = 20;

// Number of buffered bytes that triggers a write. A write of up to PIPE_BUF
// bytes to a pipe is atomic.
constexpr size_t kWriteBytes = PIPE_BUF;
constexpr size_t kMaxBufferedBytes = size_t{256} * 1024;
constexpr size_t kReservedBytes = size_t{8} * 1024;

}  // namespace

StdoutAppender::StdoutAppender(std::string process, std::string reserved_for)
    : process_(std::move(process)),
      reserved_for_(std::move(reserved_for)),
      tokens_(kBurstLines),
      refilled_at_(Now()) {}

StdoutAppender::~StdoutAppender() {
  destructorImpl();
}

void StdoutAppender::close() {
  WriteBuffer();
  closed = true;
}

void StdoutAppender::Flush() {
  const log4cplus::thread::MutexGuard guard(access_mutex);
  ReportDropped();
  WriteBuffer();
}

bool StdoutAppender::HasSpareCapacity() {
  const log4cplus::thread::MutexGuard guard(access_mutex);
  RefillTokens(Now());
  return tokens_ > kBurstLines / 2 && buffer_.size() < kMaxBufferedBytes / 2;
}

void StdoutAppender::RefillTokens(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(kBurstLines, tokens_ + seconds * kLinesPerSecond);
  refilled_at_ = now;
}

bool StdoutAppender::TakeToken(TimePoint now, double reserved) {
  RefillTokens(now);
  if (tokens_ < 1 + reserved) {
    return false;
  }
  --tokens_;
  return true;
}

void StdoutAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const bool may_use_reserve = event.getLoggerName() == reserved_for_;
  const size_t reserved_bytes = may_use_reserve ? 0 : kReservedBytes;
  if (!TakeToken(Now(), may_use_reserve ? 0 : kReservedLines) ||
      buffer_.size() + reserved_bytes > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  buffer_ += line.str();
  if (buffer_.size() >= kWriteBytes) {
    WriteBuffer();
  }
}

void StdoutAppender::ReportDropped() {
  if (dropped_ > 0 && buffer_.size() < kMaxBufferedBytes) {
    buffer_ +=
        "{\"level\":\"warning\",\"process\":\"" + process_ + "\",\"event\":\"" +
        std::string(InfoOf(DecisionEvent::kLogLinesDropped).name) +
        "\",\"count\":" + std::to_string(std::exchange(dropped_, 0)) + "}\n";
  }
}

// A writable pipe accepts PIPE_BUF bytes without blocking.
void StdoutAppender::WriteBuffer() {
  while (!buffer_.empty()) {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t written = write(STDOUT_FILENO, buffer_.data(),
                                  std::min<size_t>(buffer_.size(), PIPE_BUF));
    if (written <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace greengage
