// A library whose destructor does not return, as one that waits for a thread.
#include <unistd.h>

namespace {

struct Blocker {
  ~Blocker() {
    while (true) {
      pause();
    }
  }
} blocker;

}  // namespace
