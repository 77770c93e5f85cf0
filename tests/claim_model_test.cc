// Model check of ClaimMachine: explores all interleavings of attempts at one
// non-idempotent request, with crashes, pauses, lost and delayed platform calls
// and platform outages.
#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "greengage/coordination/claim.h"
#include "greengage/coordination/claim_machine.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr ClaimLimits kLimits{.retention = std::chrono::milliseconds(1000),
                              .clock_skew = std::chrono::milliseconds(100)};
constexpr std::chrono::milliseconds kRequestTime{1000000};

// Naive alternative without claims: every attempt sends the request.
class UnclaimedMachine {
 public:
  UnclaimedMachine(WallTime,
                   ClaimLimits,
                   const std::string&,
                   const std::string&) {}
  std::vector<ClaimAction> Start(WallTime) { return {SendRequest{}}; }
  std::vector<ClaimAction> OnWrite(const ClaimWriteResult&, WallTime) {
    return {};
  }
  std::vector<ClaimAction> OnRead(const ClaimReadResult&, WallTime) {
    return {};
  }
  std::vector<ClaimAction> OnSubAnswer(const SubAnswer& answer, WallTime) {
    return {ReplyToCaller{.outcome = answer.outcome}};
  }
  std::vector<ClaimAction> OnDeadline(WallTime) {
    return {ReplyToCaller{.outcome = Outcome::kUnknown}};
  }
  std::string Describe() const { return "unclaimed"; }
};

// Naive alternative with a lease: a claim is taken over once its lease expired.
class LeaseMachine {
 public:
  LeaseMachine(WallTime request_time,
               ClaimLimits,
               std::string token,
               const std::string&)
      : lease_end_(request_time + std::chrono::milliseconds(900)),
        token_(std::move(token)) {}
  std::vector<ClaimAction> Start(WallTime) { return Write(0); }
  std::vector<ClaimAction> OnWrite(const ClaimWriteResult& result, WallTime) {
    if (result.kind == ClaimWriteResult::Kind::kWritten) {
      return {SendRequest{}};
    }
    return {ReadClaim{}};
  }
  std::vector<ClaimAction> OnRead(const ClaimReadResult& result, WallTime now) {
    const bool expired = now >= lease_end_;
    if (result.kind == ClaimReadResult::Kind::kFound && expired) {
      return Write(result.version);
    }
    return {ReplyToCaller{.outcome = Outcome::kUnknown}};
  }
  std::vector<ClaimAction> OnSubAnswer(const SubAnswer& answer, WallTime) {
    return {ReplyToCaller{.outcome = answer.outcome}};
  }
  std::vector<ClaimAction> OnDeadline(WallTime) {
    return {ReplyToCaller{.outcome = Outcome::kUnknown}};
  }
  std::string Describe() const { return token_; }

 private:
  std::vector<ClaimAction> Write(uint64_t expected) {
    if (writes_++ == 2) {
      return {ReplyToCaller{.outcome = Outcome::kUnknown}};
    }
    return {WriteClaim{.expected = expected, .record = {.token = token_}}};
  }

  WallTime lease_end_;
  std::string token_;
  int writes_ = 0;
};

// One entry instance with its attempt and its pending operations.
template <typename Machine>
struct EntryModel {
  Machine machine;
  std::chrono::milliseconds clock_offset{0};
  bool started = false;
  bool crashed = false;
  bool deadline_passed = false;
  std::deque<ClaimAction> outbox;        // Actions not carried out yet.
  std::vector<ClaimWriteResult> writes;  // Write results not delivered yet.
  std::vector<ClaimReadResult> reads;    // Read results not delivered yet.
  std::vector<Outcome> sub_answers;      // Send results not delivered yet.
  std::vector<Outcome> replies;
  int executions = 0;
};

struct StoredClaim {
  uint64_t version = 0;
  ClaimRecord record;
};

// A write or send that the network delivers after its sender gave up on it.
struct Delayed {
  size_t instance = 0;
  std::optional<WriteClaim> write;  // Empty: the request to the searcher.
};

template <typename Machine>
struct SystemState {
  std::vector<EntryModel<Machine>> instances;
  std::optional<StoredClaim> claim;
  uint64_t last_version = 0;
  std::vector<Delayed> delayed;
  size_t age = 0;  // Index into Options::ages.
  int faults_left = 0;
};

struct Options {
  std::vector<std::chrono::milliseconds> clock_offsets;
  std::chrono::milliseconds sweeper_offset{0};
  // The true times to explore, as ages of the request.
  std::vector<std::chrono::milliseconds> ages;
  int faults = 0;
  bool deadlines = true;  // A caller's deadline may pass at any time.
};

// Counts collected by an exploration.
struct Findings {
  size_t states = 0;
  size_t double_executions = 0;  // States with more than one execution.
  size_t false_not_run = 0;      // Replies of kNotRun after an execution.
  size_t double_replies = 0;     // Instances that replied more than once.
  size_t false_answer = 0;       // States with an answer but no execution.
  size_t answered = 0;           // States in which a caller got an answer.
};

template <typename Machine>
class Explorer {
 public:
  explicit Explorer(Options options) : options_(std::move(options)) {}

  Findings Run() {
    SystemState<Machine> state;
    state.faults_left = options_.faults;
    for (size_t i = 0; i < options_.clock_offsets.size(); ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      state.instances.push_back(
          {.machine = Machine(FromEpoch(kRequestTime), kLimits, name, name),
           .clock_offset = options_.clock_offsets[i]});
    }
    Visit(state);
    while (!pending_.empty()) {
      const SystemState<Machine> next = std::move(pending_.back());
      pending_.pop_back();
      Expand(next);
    }
    return findings_;
  }

 private:
  using StateType = SystemState<Machine>;
  using EntryType = EntryModel<Machine>;

  WallTime Now(const StateType& state, std::chrono::milliseconds offset) {
    return FromEpoch(kRequestTime + options_.ages[state.age] + offset);
  }

  void Visit(const StateType& state) {
    const std::string digest = Digest(state);
    const XXH128_hash_t hash = XXH3_128bits(digest.data(), digest.size());
    if (!seen_.insert({hash.high64, hash.low64}).second) {
      return;
    }
    ++findings_.states;
    int executions = 0;
    for (const EntryType& instance : state.instances) {
      executions += instance.executions;
      CheckInstance(instance);
    }
    findings_.double_executions += executions > 1 ? 1 : 0;
    const bool has_answer = std::any_of(
        state.instances.begin(), state.instances.end(),
        [](const EntryType& instance) {
          return std::count(instance.replies.begin(), instance.replies.end(),
                            Outcome::kAnswered) > 0;
        });
    findings_.answered += has_answer ? 1 : 0;
    findings_.false_answer += has_answer && executions == 0 ? 1 : 0;
    pending_.push_back(state);
  }

  void CheckInstance(const EntryType& instance) {
    findings_.double_replies += instance.replies.size() > 1 ? 1 : 0;
    for (const Outcome outcome : instance.replies) {
      const bool reported_not_run = outcome == Outcome::kNotRun;
      findings_.false_not_run +=
          reported_not_run && instance.executions > 0 ? 1 : 0;
    }
  }

  void Expand(const StateType& state) {
    for (size_t i = 0; i < state.instances.size(); ++i) {
      if (!state.instances[i].crashed) {
        ExpandInstance(state, i);
      }
    }
    for (size_t i = 0; i < state.delayed.size(); ++i) {
      DeliverDelayed(state, i);
    }
    if (state.age + 1 < options_.ages.size()) {
      StateType next = state;
      ++next.age;
      Visit(next);
    }
    const bool can_delete =
        state.claim && ClaimMayBeDeleted(FromEpoch(kRequestTime), kLimits,
                                         Now(state, options_.sweeper_offset));
    if (can_delete) {
      StateType next = state;
      next.claim.reset();
      Visit(next);
    }
  }

  void ExpandInstance(const StateType& state, size_t i) {
    const EntryType& instance = state.instances[i];
    if (!instance.started) {
      Step(state, i, [](EntryType& self, WallTime now) {
        self.started = true;
        return self.machine.Start(now);
      });
      return;
    }
    if (options_.deadlines && !instance.deadline_passed &&
        instance.replies.empty()) {
      Step(state, i, [](EntryType& self, WallTime now) {
        self.deadline_passed = true;
        return self.machine.OnDeadline(now);
      });
    }
    DeliverResults(state, i);
    if (!instance.outbox.empty()) {
      Perform(state, i);
    }
    if (state.faults_left > 0) {
      StateType next = state;
      --next.faults_left;
      next.instances[i].crashed = true;
      Visit(next);
    }
  }

  template <typename Event>
  void Step(const StateType& state, size_t i, Event event) {
    StateType next = state;
    EntryType& self = next.instances[i];
    // Replies have no effect on the state, so delivering them at once covers
    // delivering them later.
    for (ClaimAction& action : event(self, Now(next, self.clock_offset))) {
      if (const auto* reply = std::get_if<ReplyToCaller>(&action)) {
        self.replies.push_back(reply->outcome);
      } else {
        self.outbox.push_back(std::move(action));
      }
    }
    Visit(next);
  }

  void DeliverResults(const StateType& state, size_t i) {
    const EntryType& instance = state.instances[i];
    if (!instance.writes.empty()) {
      Step(state, i, [](EntryType& self, WallTime now) {
        const ClaimWriteResult result = self.writes.front();
        self.writes.erase(self.writes.begin());
        return self.machine.OnWrite(result, now);
      });
    }
    if (!instance.reads.empty()) {
      Step(state, i, [](EntryType& self, WallTime now) {
        const ClaimReadResult result = self.reads.front();
        self.reads.erase(self.reads.begin());
        return self.machine.OnRead(result, now);
      });
    }
    if (!instance.sub_answers.empty()) {
      Step(state, i, [](EntryType& self, WallTime now) {
        SubAnswer answer;
        answer.outcome = self.sub_answers.front();
        self.sub_answers.erase(self.sub_answers.begin());
        return self.machine.OnSubAnswer(answer, now);
      });
    }
  }

  void Perform(const StateType& state, size_t i) {
    StateType next = state;
    const ClaimAction action = next.instances[i].outbox.front();
    next.instances[i].outbox.pop_front();
    if (const auto* write = std::get_if<WriteClaim>(&action)) {
      PerformWrite(next, i, *write);
    } else if (std::holds_alternative<ReadClaim>(action)) {
      PerformRead(next, i);
    } else {
      PerformSend(next, i);
    }
  }

  static ClaimWriteResult Apply(StateType& state, const WriteClaim& write) {
    const uint64_t current = state.claim ? state.claim->version : 0;
    if (current != write.expected) {
      return {ClaimWriteResult::Kind::kConflict, current};
    }
    state.claim = StoredClaim{++state.last_version, write.record};
    return {ClaimWriteResult::Kind::kWritten, state.last_version};
  }

  void PerformWrite(const StateType& state, size_t i, const WriteClaim& write) {
    StateType succeeded = state;
    succeeded.instances[i].writes.push_back(Apply(succeeded, write));
    Visit(succeeded);
    if (state.faults_left == 0) {
      return;
    }
    StateType failed = state;
    --failed.faults_left;
    const auto with = [&](StateType next, ClaimWriteResult::Kind kind) {
      next.instances[i].writes.push_back({kind, 0});
      Visit(next);
    };
    with(failed, ClaimWriteResult::Kind::kNotSent);
    with(failed, ClaimWriteResult::Kind::kAmbiguous);  // Lost in transit.
    StateType applied = failed;
    Apply(applied, write);
    with(applied, ClaimWriteResult::Kind::kAmbiguous);
    StateType delayed = failed;
    delayed.delayed.push_back({i, write});
    with(delayed, ClaimWriteResult::Kind::kAmbiguous);
  }

  void PerformRead(const StateType& state, size_t i) {
    StateType succeeded = state;
    ClaimReadResult result{.kind = ClaimReadResult::Kind::kAbsent};
    if (state.claim) {
      result = {ClaimReadResult::Kind::kFound, state.claim->version,
                state.claim->record};
    }
    succeeded.instances[i].reads.push_back(result);
    Visit(succeeded);
    if (state.faults_left > 0) {
      StateType failed = state;
      --failed.faults_left;
      failed.instances[i].reads.push_back({});
      Visit(failed);
    }
  }

  void PerformSend(const StateType& state, size_t i) {
    StateType ran = state;
    ++ran.instances[i].executions;
    ran.instances[i].sub_answers.push_back(Outcome::kAnswered);
    Visit(ran);
    StateType refused = state;
    refused.instances[i].sub_answers.push_back(Outcome::kNotRun);
    Visit(refused);
    if (state.faults_left == 0) {
      return;
    }
    StateType lost = state;
    --lost.faults_left;
    lost.instances[i].sub_answers.push_back(Outcome::kUnknown);
    Visit(lost);
    StateType answer_lost = lost;
    ++answer_lost.instances[i].executions;
    Visit(answer_lost);
    StateType delayed = lost;
    delayed.delayed.push_back({i, std::nullopt});
    Visit(delayed);
  }

  void DeliverDelayed(const StateType& state, size_t index) {
    StateType next = state;
    const Delayed delayed = next.delayed[index];
    next.delayed.erase(next.delayed.begin() + static_cast<ptrdiff_t>(index));
    if (delayed.write) {
      Apply(next, *delayed.write);
    } else {
      ++next.instances[delayed.instance].executions;
    }
    Visit(next);
  }

  static std::string DescribeAction(const ClaimAction& action) {
    if (const auto* write = std::get_if<WriteClaim>(&action)) {
      return "w" + std::to_string(write->expected) + write->record.token +
             std::string(ClaimStateName(write->record.state));
    }
    if (const auto* reply = std::get_if<ReplyToCaller>(&action)) {
      return "v" + std::to_string(static_cast<int>(reply->outcome));
    }
    return std::holds_alternative<ReadClaim>(action) ? "r" : "s";
  }

  static std::string DescribeInstance(const EntryType& instance) {
    std::string text = instance.machine.Describe();
    text += instance.started ? "|s" : "|-";
    text += instance.crashed ? "c" : "-";
    text += instance.deadline_passed ? "d" : "-";
    text += std::to_string(instance.executions);
    for (const ClaimAction& action : instance.outbox) {
      text += "," + DescribeAction(action);
    }
    for (const ClaimWriteResult& write : instance.writes) {
      text += ";w" + std::to_string(static_cast<int>(write.kind)) + "." +
              std::to_string(write.version);
    }
    for (const ClaimReadResult& read : instance.reads) {
      text += ";r" + std::to_string(static_cast<int>(read.kind)) + "." +
              std::to_string(read.version) + read.record.token +
              std::string(ClaimStateName(read.record.state));
    }
    for (const Outcome answer : instance.sub_answers) {
      text += ";a" + std::to_string(static_cast<int>(answer));
    }
    for (const Outcome outcome : instance.replies) {
      text += ";v" + std::to_string(static_cast<int>(outcome));
    }
    return text;
  }

  static std::string Digest(const StateType& state) {
    std::string text = std::to_string(state.age) + "/" +
                       std::to_string(state.faults_left) + "/" +
                       std::to_string(state.last_version) + "/";
    if (state.claim) {
      text += std::to_string(state.claim->version) + state.claim->record.token +
              std::string(ClaimStateName(state.claim->record.state));
    }
    for (const EntryType& instance : state.instances) {
      text += "\n" + DescribeInstance(instance);
    }
    for (const Delayed& delayed : state.delayed) {
      text += "\nd" + std::to_string(delayed.instance);
      text += delayed.write ? DescribeAction(*delayed.write) : "s";
    }
    return text;
  }

  const Options options_;
  Findings findings_;
  std::set<std::pair<uint64_t, uint64_t>> seen_;
  std::vector<StateType> pending_;
};

constexpr std::chrono::milliseconds kNone{0};
constexpr std::chrono::milliseconds kSkew = kLimits.clock_skew;

// Ages that are accepted, expired on every correct clock, and old enough for
// the claim to be deleted.
const std::vector<std::chrono::milliseconds> kCorrectClockAges = {
    kNone, kLimits.retention, kLimits.retention + kSkew * 2};

// The last age accepted by the slowest clock, and the first at which the
// fastest clock allows deletion.
const std::vector<std::chrono::milliseconds> kSkewedAges = {
    kNone, kLimits.retention, kLimits.retention + std::chrono::milliseconds(1)};

template <typename Machine>
Findings Explore(Options options) {
  const Findings findings = Explorer<Machine>(std::move(options)).Run();
  cr_log_info(
      "%zu states, %zu double executions, %zu false not_run, %zu answered",
      findings.states, findings.double_executions, findings.false_not_run,
      findings.answered);
  return findings;
}

void ExpectSafe(const Findings& findings) {
  cr_expect(findings.double_executions == 0);
  cr_expect(findings.false_not_run == 0);
  cr_expect(findings.false_answer == 0);
  cr_expect(findings.double_replies == 0);
  cr_expect(findings.answered > 0);
}

Test(ClaimModel, TwoAttemptsWithTwoFaultsRunAtMostOnce) {
  ExpectSafe(Explore<ClaimMachine>({.clock_offsets = {kNone, kNone},
                                    .ages = kCorrectClockAges,
                                    .faults = 2,
                                    .deadlines = false}));
}

Test(ClaimModel, TwoAttemptsWithOneFaultAndDeadlinesRunAtMostOnce) {
  ExpectSafe(Explore<ClaimMachine>({.clock_offsets = {kNone, kNone},
                                    .ages = kCorrectClockAges,
                                    .faults = 1}));
}

Test(ClaimModel, ThreeAttemptsWithOneFaultRunAtMostOnce) {
  ExpectSafe(Explore<ClaimMachine>({.clock_offsets = {kNone, kNone, kNone},
                                    .ages = {kNone, kLimits.retention},
                                    .faults = 1,
                                    .deadlines = false}));
}

Test(ClaimModel, ClocksWithinTheSkewDoNotMatter) {
  for (const auto first : {-kSkew, kSkew}) {
    for (const auto sweeper : {-kSkew, kSkew}) {
      ExpectSafe(Explore<ClaimMachine>({.clock_offsets = {first, -kSkew},
                                        .sweeper_offset = sweeper,
                                        .ages = kSkewedAges,
                                        .faults = 1,
                                        .deadlines = false}));
    }
  }
}

// Verifies that the model reaches the deletion of claims: a clock that is off
// by more than the configured skew causes a double execution.
Test(ClaimModel, DetectsDoubleExecutionWithAClockBeyondTheSkew) {
  const Findings findings =
      Explore<ClaimMachine>({.clock_offsets = {kNone, -3 * kSkew},
                             .sweeper_offset = kSkew,
                             .ages = kSkewedAges});
  cr_expect(findings.double_executions > 0);
}

Test(ClaimModel, DetectsDoubleExecutionWithoutClaims) {
  const Findings findings = Explore<UnclaimedMachine>(
      {.clock_offsets = {kNone, kNone}, .ages = {kNone}});
  cr_expect(findings.double_executions > 0);
}

Test(ClaimModel, DetectsDoubleExecutionWhenALeaseExpiresDuringAPause) {
  const Findings findings = Explore<LeaseMachine>(
      {.clock_offsets = {kNone, kNone}, .ages = kCorrectClockAges});
  cr_expect(findings.double_executions > 0);
}

}  // namespace
}  // namespace greengage
