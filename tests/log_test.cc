#include "greengage/transport/log.h"

#include "greengage/transport/log_line.h"

#include <criterion/criterion.h>
#include <criterion/redirect.h>

namespace greengage {

// Programs that use the library without a log must not get output from it.
Test(Log, WritesNothingBeforeItIsStarted, .init = cr_redirect_stderr) {
  cr_assert(!IsLogged(LogLevel::kError));
  LogLine(DecisionEvent::kConnectionCut).Add("cause", "closed").Write();
  LogMessage(LogLevel::kError, "a message");
  cr_assert_stderr_eq_str("");
}

}  // namespace greengage
