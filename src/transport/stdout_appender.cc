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

// Lines a second, and how many may come at once. A busy instance answers some
// dozens of requests a second, of which a few make lines.
constexpr double kLinesPerSecond = 200;
constexpr double kBurstLines = 400;

// Gathered before they are written; a pipe takes PIPE_BUF bytes at once.
constexpr size_t kWriteBytes = PIPE_BUF;
constexpr size_t kMaxBufferedBytes = size_t{256} * 1024;

}  // namespace

StdoutAppender::StdoutAppender(std::string process)
    : process_(std::move(process)), tokens_(kBurstLines), tokens_at_(Now()) {}

StdoutAppender::~StdoutAppender() {
  destructorImpl();
}

void StdoutAppender::close() {
  WriteSome();
  closed = true;
}

void StdoutAppender::Flush() {
  const log4cplus::thread::MutexGuard guard(access_mutex);
  ReportDropped();
  WriteSome();
}

bool StdoutAppender::HasSpareCapacity() {
  const log4cplus::thread::MutexGuard guard(access_mutex);
  EarnTokens(Now());
  return tokens_ > kBurstLines / 2 && buffer_.size() < kMaxBufferedBytes / 2;
}

void StdoutAppender::EarnTokens(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - tokens_at_).count();
  tokens_ = std::min(kBurstLines, tokens_ + seconds * kLinesPerSecond);
  tokens_at_ = now;
}

bool StdoutAppender::TakeToken(TimePoint now) {
  EarnTokens(now);
  if (tokens_ < 1) {
    return false;
  }
  --tokens_;
  return true;
}

void StdoutAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  if (!TakeToken(Now()) || buffer_.size() > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  buffer_ += line.str();
  if (buffer_.size() >= kWriteBytes) {
    WriteSome();
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

// A pipe that is ready takes PIPE_BUF bytes without waiting.
void StdoutAppender::WriteSome() {
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
