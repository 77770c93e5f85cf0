// Model check of ConfigurationUpdate: explores all interleavings of two
// operators, and of a writer that omits the attempt header, with lost and
// delayed messages.
#include "greengage/coordination/configuration_update.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using namespace std::chrono_literals;

constexpr int kFaults = 2;  // Per run.
constexpr TimePoint kDeadline = TimePoint() + 2s;

struct PendingWrite {
  uint64_t expected = 0;
  std::string value;
};

struct Operator {
  explicit Operator(const std::string& attempt)
      : token(attempt),
        update("same text\n", attempt, std::nullopt, kDeadline) {}

  std::string token;
  ConfigurationUpdate update;
  TimePoint now;
  std::optional<UpdateResult> result;
};

// The complete state of a run; copied at each branch.
struct SystemState {
  std::array<Operator, 2> operators{Operator("first"), Operator("second")};
  std::vector<PendingWrite> delayed;
  std::map<uint64_t, std::string> history{{1, "same text\n"}};
  int faults = kFaults;
  bool headerless_write_done = false;

  PlatformWrite Apply(const PendingWrite& write) {
    const uint64_t current = history.rbegin()->first;
    if (current != write.expected) {
      return {WriteOutcome::kConflict, current, {}};
    }
    history[current + 1] = write.value;
    return {WriteOutcome::kDone, current + 1, {}};
  }

  std::optional<uint64_t> VersionOf(const std::string& token) const {
    std::optional<uint64_t> found;
    for (const auto& [version, value] : history) {
      const auto attempts = ParseAttempts(value);
      if (!attempts.empty() && attempts.front().token == token) {
        if (found) {
          cr_assert_fail("%s took effect twice", token.c_str());
        }
        found = version;
      }
    }
    return found;
  }
};

class Explorer {
 public:
  explicit Explorer(bool with_headerless_writer)
      : with_headerless_writer_(with_headerless_writer) {}

  void Explore(const SystemState& state) {
    bool finished = true;
    for (size_t index = 0; index < state.operators.size(); ++index) {
      if (!state.operators.at(index).result) {
        finished = false;
        Advance(state, index);
      }
    }
    if (finished) {
      Check(state);
      return;
    }
    for (size_t index = 0; index < state.delayed.size(); ++index) {
      SystemState next = state;
      next.delayed.erase(next.delayed.begin() + static_cast<long>(index));
      next.Apply(state.delayed[index]);
      Explore(next);
    }
    if (with_headerless_writer_ && !state.headerless_write_done) {
      SystemState next = state;
      next.headerless_write_done = true;
      next.history[next.history.rbegin()->first + 1] = "by hand\n";
      Explore(next);
    }
  }

  size_t runs() const { return runs_; }
  size_t outcomes(UpdateOutcome outcome) const {
    return outcomes_.at(static_cast<size_t>(outcome));
  }

 private:
  void Advance(SystemState state, size_t index) {
    Operator& self = state.operators.at(index);
    const UpdateStep step = self.update.Next(self.now);
    if (const auto* wait = std::get_if<WaitStep>(&step)) {
      self.now = wait->until;
      Advance(std::move(state), index);
    } else if (const auto* result = std::get_if<UpdateResult>(&step)) {
      self.result = *result;
      Explore(state);
    } else if (const auto* write = std::get_if<WriteStep>(&step)) {
      Write(state, index, {write->expected, write->value});
    } else {
      Read(state, index);
    }
  }

  void Read(const SystemState& state, size_t index) {
    const auto& [version, value] = *state.history.rbegin();
    Finish(state, index, [version = version, value = value](Operator& self) {
      self.update.OnRead(
          self.now, PlatformObject{ConfigurationObject(), version, value, {}});
    });
    Fault(state, index, [](Operator& self) {
      self.update.OnRead(self.now, Failure{FailureKind::kUnavailable, "", ""});
    });
  }

  void Write(const SystemState& state,
             size_t index,
             const PendingWrite& write) {
    SystemState applied = state;
    const PlatformWrite answer = applied.Apply(write);
    const auto deliver = [&](PlatformWrite result) {
      return [result = std::move(result)](Operator& self) {
        self.update.OnWritten(self.now, result);
      };
    };
    Finish(applied, index, deliver(answer));
    const PlatformWrite ambiguous{WriteOutcome::kAmbiguous, 0, {}};
    Fault(applied, index, deliver(ambiguous));
    Fault(state, index, deliver(ambiguous));
    Fault(state, index, deliver({WriteOutcome::kUnavailable, 0, {}}));
    SystemState delayed = state;
    delayed.delayed.push_back(write);
    Fault(delayed, index, deliver(ambiguous));
  }

  void Finish(SystemState state,
              size_t index,
              const std::function<void(Operator&)>& answer) {
    answer(state.operators.at(index));
    Explore(state);
  }

  void Fault(SystemState state,
             size_t index,
             const std::function<void(Operator&)>& answer) {
    if (state.faults > 0) {
      --state.faults;
      Finish(std::move(state), index, answer);
    }
  }

  // Delayed writes still arrive after both operators have their result.
  void Check(SystemState state) {
    ++runs_;
    for (const PendingWrite& write : state.delayed) {
      state.Apply(write);
    }
    for (const Operator& self : state.operators) {
      CheckOperator(state, self);
    }
  }

  void CheckOperator(const SystemState& state, const Operator& self) {
    const auto version = state.VersionOf(self.token);
    const UpdateResult& result = *self.result;
    ++outcomes_.at(static_cast<size_t>(result.outcome));
    const bool in_effect = version && *version == result.version;
    bool correct = true;
    switch (result.outcome) {
      case UpdateOutcome::kAccepted:
        correct = in_effect;
        break;
      case UpdateOutcome::kSuperseded:
        correct = in_effect && result.latest_version > result.version;
        break;
      case UpdateOutcome::kConflict:
        correct = !version && state.history.contains(result.version);
        break;
      case UpdateOutcome::kRejected:
      case UpdateOutcome::kUnavailable:
        correct = !version;
        break;
      case UpdateOutcome::kUnknown:
        break;
    }
    if (!correct) {
      cr_assert_fail("%s: incorrect outcome %d", self.token.c_str(),
                     static_cast<int>(result.outcome));
    }
  }

  const bool with_headerless_writer_;
  size_t runs_ = 0;
  std::array<size_t, 6> outcomes_{};
};

}  // namespace

Test(ConfigurationUpdate, ReportsTheCorrectOutcomeInAllInterleavings) {
  Explorer explorer(false);
  explorer.Explore(SystemState());
  cr_log_info("%zu runs", explorer.runs());
  cr_assert(explorer.outcomes(UpdateOutcome::kAccepted) > 0);
  cr_assert(explorer.outcomes(UpdateOutcome::kSuperseded) > 0);
  cr_assert(explorer.outcomes(UpdateOutcome::kConflict) > 0);
  // kUnknown must not occur: the history covers all attempts, and no run
  // reaches the deadline.
  cr_assert(explorer.outcomes(UpdateOutcome::kUnknown) == 0);
}

Test(ConfigurationUpdate, ReportsTheCorrectOutcomeWithHeaderlessWrites) {
  Explorer explorer(true);
  explorer.Explore(SystemState());
  cr_log_info("%zu runs", explorer.runs());
  cr_assert(explorer.outcomes(UpdateOutcome::kUnknown) > 0);
}

Test(ConfigurationUpdate, RejectsAnUnexpectedVersion) {
  ConfigurationUpdate update("text", "token", 4, kDeadline);
  cr_assert(std::holds_alternative<ReadStep>(update.Next({})));
  update.OnRead({}, PlatformObject{ConfigurationObject(), 5, "", {}});
  const auto result = std::get<UpdateResult>(update.Next({}));
  cr_assert(result.outcome == UpdateOutcome::kConflict && result.version == 5);
}

Test(ConfigurationUpdate, FinishesAtTheDeadline) {
  ConfigurationUpdate unsent("text", "token", std::nullopt, kDeadline);
  unsent.OnRead({}, Failure{FailureKind::kUnavailable, "", "down"});
  const auto never = std::get<UpdateResult>(unsent.Next(kDeadline));
  cr_assert(never.outcome == UpdateOutcome::kUnavailable);
  ConfigurationUpdate lost("text", "token", std::nullopt, kDeadline);
  lost.OnRead({}, Failure{FailureKind::kNotFound, "", ""});
  cr_assert(std::get<WriteStep>(lost.Next(TimePoint())).expected == 0);
  lost.OnWritten({}, {WriteOutcome::kAmbiguous, 0, {}});
  cr_assert(std::holds_alternative<WaitStep>(lost.Next(TimePoint())));
  const auto unknown = std::get<UpdateResult>(lost.Next(kDeadline));
  cr_assert(unknown.outcome == UpdateOutcome::kUnknown);
}

Test(AttemptHeader, KeepsTheNewestAttemptsAndTheText) {
  std::vector<Attempt> attempts;
  for (uint64_t version = 20; version > 0; --version) {
    attempts.push_back({"t" + std::to_string(version), version});
  }
  const std::string text = PrependAttempts(attempts, "; a comment\n[a]\n");
  const std::vector<Attempt> read = ParseAttempts(text);
  cr_assert(read.size() == kMaxAttemptsKept);
  cr_assert(read.front().token == "t20" && read.front().replaced == 20);
  cr_assert(StripAttempts(text) == "; a comment\n[a]\n");
  cr_assert(StripAttempts("; attempt x replaced y\n") ==
            "; attempt x replaced y\n");
}

}  // namespace greengage
