// Exit codes of greengagectl, as documented in docs/OPERATIONS.md.
#ifndef GREENGAGE_TOOLS_GREENGAGECTL_EXIT_CODE_H_
#define GREENGAGE_TOOLS_GREENGAGECTL_EXIT_CODE_H_

namespace greengage {

enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,       // Any other failure.
  kInvalid = 2,      // A wrong command line, or a file that is not valid.
  kConflict = 3,     // Another change won; nothing of this one took effect.
  kUnavailable = 4,  // The platform or instance could not be reached; nothing
                     // took effect.
  kUnknown = 5,      // Whether the change took effect could not be settled.
  kNotInForce = 6,   // Accepted, but some instance lacks it.
  kDifferent = 7,    // `diff` found differences.
};

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_GREENGAGECTL_EXIT_CODE_H_
