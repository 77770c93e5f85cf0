// The request of operators that the searchers of a data centre get no work.
#ifndef GREENGAGE_STATE_EVACUATION_H_
#define GREENGAGE_STATE_EVACUATION_H_

#include <string>

namespace greengage {

// In force while the store has it.
struct Evacuation {
  std::string data_centre;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_EVACUATION_H_
