// A value, or the typed reason why there is none.
#ifndef GREENGAGE_STATE_RESULT_H_
#define GREENGAGE_STATE_RESULT_H_

#include <optional>
#include <utility>

#include "greengage/state/failure.h"

namespace greengage {

// An std::optional that keeps the last reason for being empty. Exactly one of
// value() and last_reason() may be called, as ok() tells.
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

// The value of an operation that gives nothing back but its success.
struct Done {};

}  // namespace greengage

#endif  // GREENGAGE_STATE_RESULT_H_
