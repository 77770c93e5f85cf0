// Reads the parameters of a request.
#ifndef GREENGAGE_SRC_TRANSPORT_REQUEST_PARAMETER_H_
#define GREENGAGE_SRC_TRANSPORT_REQUEST_PARAMETER_H_

#include <charconv>
#include <concepts>
#include <string>

#include "greengage/transport/http_message.h"

namespace greengage {

// Returns the number at the start of a parameter, or zero if the parameter is
// missing or does not start with a number that fits.
template <std::integral Number>
Number NumericParameter(const HttpRequest& request, const std::string& name) {
  const auto found = request.parameters.find(name);
  Number number = 0;
  if (found != request.parameters.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_REQUEST_PARAMETER_H_
