// A value, or all reasons why an input is invalid.
#ifndef GREENGAGE_PROTOCOL_VALIDATED_H_
#define GREENGAGE_PROTOCOL_VALIDATED_H_

#include <optional>
#include <utility>
#include <vector>

#include "greengage/state/failure.h"

namespace greengage {

// Like Result<T>, but keeps all failures, so that one check of a file shows
// everything that has to be corrected.
template <typename T>
class [[nodiscard]] Validated {
 public:
  // Implicit, so that functions can return either a value or failures.
  // NOLINTNEXTLINE(google-explicit-constructor)
  Validated(T value) : value_(std::move(value)) {}
  // `failures` must not be empty.
  // NOLINTNEXTLINE(google-explicit-constructor)
  Validated(std::vector<Failure> failures) : failures_(std::move(failures)) {}

  bool ok() const { return value_.has_value(); }
  explicit operator bool() const { return ok(); }

  const T& value() const& { return *value_; }
  T& value() & { return *value_; }
  T&& value() && { return *std::move(value_); }

  const T* operator->() const { return &*value_; }
  const T& operator*() const& { return *value_; }

  // In the order of the input; empty if ok().
  const std::vector<Failure>& failures() const { return failures_; }

 private:
  std::optional<T> value_;
  std::vector<Failure> failures_;
};

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_VALIDATED_H_
