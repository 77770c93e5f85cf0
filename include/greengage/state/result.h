// A value, or the typed reason for its absence.
#ifndef GREENGAGE_STATE_RESULT_H_
#define GREENGAGE_STATE_RESULT_H_

#include <optional>
#include <utility>

#include "greengage/state/failure.h"

namespace greengage {

// A std::optional with the reason why it is empty. value() may be called only
// if ok() returns true, and last_reason() only if it returns false.
template <typename T>
class [[nodiscard]] Result {
 public:
  // Implicit, so that functions can return either a value or a Failure.
  // NOLINTNEXTLINE(google-explicit-constructor)
  Result(T value) : value_(std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  Result(Failure reason) : reason_(std::move(reason)) {}

  bool ok() const { return value_.has_value(); }
  explicit operator bool() const { return ok(); }

  const T& value() const& { return *value_; }
  T& value() & { return *value_; }
  T&& value() && { return *std::move(value_); }

  const T* operator->() const { return &*value_; }
  T* operator->() { return &*value_; }
  const T& operator*() const& { return *value_; }
  T& operator*() & { return *value_; }

  const Failure& last_reason() const { return reason_; }

 private:
  std::optional<T> value_;
  Failure reason_;
};

// The value of an operation that returns nothing but its success.
struct Done {};

}  // namespace greengage

#endif  // GREENGAGE_STATE_RESULT_H_
