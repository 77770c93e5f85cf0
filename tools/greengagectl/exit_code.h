// Exit codes of greengagectl, as documented in docs/OPERATIONS.md.
#ifndef GREENGAGE_TOOLS_GREENGAGECTL_EXIT_CODE_H_
#define GREENGAGE_TOOLS_GREENGAGECTL_EXIT_CODE_H_

namespace greengage {

enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,       // Any other failure.
  kInvalid = 2,      // An invalid command line or input file.
  kConflict = 3,     // A concurrent change was written first; this one took
                     // no effect.
  kUnavailable = 4,  // The platform or instance could not be reached; nothing
                     // took effect.
  kUnknown = 5,      // It is not known if the change took effect.
  kNotActive = 6,    // Accepted, but not active at all instances.
  kDifferent = 7,    // `diff` found differences.
};

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_GREENGAGECTL_EXIT_CODE_H_
