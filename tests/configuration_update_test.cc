// Checks ConfigurationUpdate over all interleavings of two operators, and of
// somebody else who writes without a header, with lost and delayed messages.
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

constexpr int kFaults = 2;  // Over all messages of one run.
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

// The whole state of a run; copied at each choice.
struct World {
  std::array<Operator, 2> operators{Operator("first"), Operator("second")};
  std::vector<PendingWrite> delayed;
  std::map<uint64_t, std::string> history{{1, "same text\n"}};
  int faults = kFaults;
  bool outsider_done = false;

  PlatformWrite Apply(const PendingWrite& write) {
    const uint64_t present = history.rbegin()->first;
    if (present != write.expected) {
      return {WriteOutcome::kConflict, present, {}};
    }
    history[present + 1] = write.value;
    return {WriteOutcome::kDone, present + 1, {}};
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
  explicit Explorer(bool with_outsider) : with_outsider_(with_outsider) {}

  void Explore(const World& world) {
    bool finished = true;
    for (size_t index = 0; index < world.operators.size(); ++index) {
      if (!world.operators.at(index).result) {
        finished = false;
        Advance(world, index);
      }
    }
    if (finished) {
      Check(world);
      return;
    }
    for (size_t index = 0; index < world.delayed.size(); ++index) {
      World next = world;
      next.delayed.erase(next.delayed.begin() + static_cast<long>(index));
      next.Apply(world.delayed[index]);
      Explore(next);
    }
    if (with_outsider_ && !world.outsider_done) {
      World next = world;
      next.outsider_done = true;
      next.history[next.history.rbegin()->first + 1] = "by hand\n";
      Explore(next);
    }
  }

  size_t runs() const { return runs_; }
  size_t outcomes(UpdateOutcome outcome) const {
    return outcomes_.at(static_cast<size_t>(outcome));
  }

 private:
  void Advance(World world, size_t index) {
    Operator& self = world.operators.at(index);
    const UpdateStep step = self.update.Next(self.now);
    if (const auto* wait = std::get_if<WaitStep>(&step)) {
      self.now = wait->until;
      Advance(std::move(world), index);
    } else if (const auto* result = std::get_if<UpdateResult>(&step)) {
      self.result = *result;
      Explore(world);
    } else if (const auto* write = std::get_if<WriteStep>(&step)) {
      Write(world, index, {write->expected, write->value});
    } else {
      Read(world, index);
    }
  }

  void Read(const World& world, size_t index) {
    const auto& [version, value] = *world.history.rbegin();
    Finish(world, index, [version = version, value = value](Operator& self) {
      self.update.OnRead(
          self.now, PlatformObject{ConfigurationObject(), version, value, {}});
    });
    Fault(world, index, [](Operator& self) {
      self.update.OnRead(self.now, Failure{FailureKind::kUnavailable, "", ""});
    });
  }

  void Write(const World& world, size_t index, const PendingWrite& write) {
    World applied = world;
    const PlatformWrite answer = applied.Apply(write);
    const auto give = [&](PlatformWrite given) {
      return [given = std::move(given)](Operator& self) {
        self.update.OnWritten(self.now, given);
      };
    };
    Finish(applied, index, give(answer));
    const PlatformWrite ambiguous{WriteOutcome::kAmbiguous, 0, {}};
    Fault(applied, index, give(ambiguous));
    Fault(world, index, give(ambiguous));
    Fault(world, index, give({WriteOutcome::kUnavailable, 0, {}}));
    World delayed = world;
    delayed.delayed.push_back(write);
    Fault(delayed, index, give(ambiguous));
  }

  void Finish(World world,
              size_t index,
              const std::function<void(Operator&)>& answer) {
    answer(world.operators.at(index));
    Explore(world);
  }

  void Fault(World world,
             size_t index,
             const std::function<void(Operator&)>& answer) {
    if (world.faults > 0) {
      --world.faults;
      Finish(std::move(world), index, answer);
    }
  }

  // Delayed writes still arrive after both operators have been told.
  void Check(World world) {
    ++runs_;
    for (const PendingWrite& write : world.delayed) {
      world.Apply(write);
    }
    for (const Operator& self : world.operators) {
      CheckOperator(world, self);
    }
  }

  void CheckOperator(const World& world, const Operator& self) {
    const auto version = world.VersionOf(self.token);
    const UpdateResult& result = *self.result;
    ++outcomes_.at(static_cast<size_t>(result.outcome));
    const bool in_effect = version && *version == result.version;
    bool truthful = true;
    switch (result.outcome) {
      case UpdateOutcome::kAccepted:
        truthful = in_effect;
        break;
      case UpdateOutcome::kSuperseded:
        truthful = in_effect && result.latest_version > result.version;
        break;
      case UpdateOutcome::kConflict:
        truthful = !version && world.history.contains(result.version);
        break;
      case UpdateOutcome::kRejected:
      case UpdateOutcome::kUnavailable:
        truthful = !version;
        break;
      case UpdateOutcome::kUnknown:
        break;
    }
    if (!truthful) {
      cr_assert_fail("%s: told %d", self.token.c_str(),
                     static_cast<int>(result.outcome));
    }
  }

  const bool with_outsider_;
  size_t runs_ = 0;
  std::array<size_t, 6> outcomes_{};
};

}  // namespace

Test(ConfigurationUpdate, TellsTheTruthInAllInterleavings) {
  Explorer explorer(false);
  explorer.Explore(World());
  cr_log_info("%zu runs", explorer.runs());
  cr_assert(explorer.outcomes(UpdateOutcome::kAccepted) > 0);
  cr_assert(explorer.outcomes(UpdateOutcome::kSuperseded) > 0);
  cr_assert(explorer.outcomes(UpdateOutcome::kConflict) > 0);
  // Histories reach back far enough, and the deadline leaves time.
  cr_assert(explorer.outcomes(UpdateOutcome::kUnknown) == 0);
}

Test(ConfigurationUpdate, StaysTrueWhenSomebodyWritesWithoutHeader) {
  Explorer explorer(true);
  explorer.Explore(World());
  cr_log_info("%zu runs", explorer.runs());
  cr_assert(explorer.outcomes(UpdateOutcome::kUnknown) > 0);
}

Test(ConfigurationUpdate, RefusesAnotherThanTheExpectedVersion) {
  ConfigurationUpdate update("text", "token", 4, kDeadline);
  cr_assert(std::holds_alternative<ReadStep>(update.Next({})));
  update.OnRead({}, PlatformObject{ConfigurationObject(), 5, "", {}});
  const auto result = std::get<UpdateResult>(update.Next({}));
  cr_assert(result.outcome == UpdateOutcome::kConflict && result.version == 5);
}

Test(ConfigurationUpdate, GivesUpAtItsDeadline) {
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

Test(AttemptHeader, KeepsTheNewestAndTheText) {
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
