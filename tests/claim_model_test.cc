// Explores all interleavings of attempts at one non-idempotent request, with
// crashes, pauses, lost and delayed platform calls and platform outages.
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

// The naive way without claims: every attempt sends.
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

// The naive way with a lease: a claim whose lease has lapsed is taken over.
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
    const bool lapsed = now >= lease_end_;
    if (result.kind == ClaimReadResult::Kind::kFound && lapsed) {
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

// One entry instance with its attempt and what is under way for it.
template <typename Machine>
struct EntryModel {
  Machine machine;
  std::chrono::milliseconds clock_offset{0};
  bool started = false;
  bool crashed = false;
  bool deadline_passed = false;
  std::deque<ClaimAction> outbox;        // Decided, not yet done.
  std::vector<ClaimWriteResult> writes;  // Results not yet heard of.
  std::vector<ClaimReadResult> reads;    // The same for reads.
  std::vector<Outcome> sub_answers;      // The same for the send.
  std::vector<Outcome> verdicts;
  int executions = 0;
};

struct StoredClaim {
  uint64_t version = 0;
  ClaimRecord record;
};

// A write or send that the network holds back after its sender gave it up.
struct Delayed {
  size_t instance = 0;
  std::optional<WriteClaim> write;  // Empty: the request to the searcher.
};

template <typename Machine>
struct World {
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
  // True times worth telling apart, as ages of the request.
  std::vector<std::chrono::milliseconds> ages;
  int faults = 0;
  bool deadlines = true;  // Callers' deadlines may pass at any time.
};

// What an exploration found.
struct Findings {
  size_t states = 0;
  size_t doubled = 0;        // States with more than one execution.
  size_t false_not_run = 0;  // States with a "not run" that did run.
  size_t two_verdicts = 0;   // States where a caller got two answers.
  size_t false_answer = 0;   // States with an answer though nothing ran.
  size_t answered = 0;       // States with an answered caller.
};

template <typename Machine>
class Explorer {
 public:
  explicit Explorer(Options options) : options_(std::move(options)) {}

  Findings Run() {
    World<Machine> world;
    world.faults_left = options_.faults;
    for (size_t i = 0; i < options_.clock_offsets.size(); ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      world.instances.push_back(
          {.machine = Machine(FromEpoch(kRequestTime), kLimits, name, name),
           .clock_offset = options_.clock_offsets[i]});
    }
    Visit(world);
    while (!pending_.empty()) {
      const World<Machine> next = std::move(pending_.back());
      pending_.pop_back();
      Expand(next);
    }
    return findings_;
  }

 private:
  using WorldType = World<Machine>;
  using EntryType = EntryModel<Machine>;

  WallTime Now(const WorldType& world, std::chrono::milliseconds offset) {
    return FromEpoch(kRequestTime + options_.ages[world.age] + offset);
  }

  void Visit(const WorldType& world) {
    const std::string digest = Digest(world);
    const XXH128_hash_t hash = XXH3_128bits(digest.data(), digest.size());
    if (!seen_.insert({hash.high64, hash.low64}).second) {
      return;
    }
    ++findings_.states;
    int executions = 0;
    for (const EntryType& instance : world.instances) {
      executions += instance.executions;
      Judge(instance);
    }
    findings_.doubled += executions > 1 ? 1 : 0;
    const bool claimed_answer = std::any_of(
        world.instances.begin(), world.instances.end(),
        [](const EntryType& instance) {
          return std::count(instance.verdicts.begin(), instance.verdicts.end(),
                            Outcome::kAnswered) > 0;
        });
    findings_.answered += claimed_answer ? 1 : 0;
    findings_.false_answer += claimed_answer && executions == 0 ? 1 : 0;
    pending_.push_back(world);
  }

  void Judge(const EntryType& instance) {
    findings_.two_verdicts += instance.verdicts.size() > 1 ? 1 : 0;
    for (const Outcome outcome : instance.verdicts) {
      const bool denied = outcome == Outcome::kNotRun;
      findings_.false_not_run += denied && instance.executions > 0 ? 1 : 0;
    }
  }

  void Expand(const WorldType& world) {
    for (size_t i = 0; i < world.instances.size(); ++i) {
      if (!world.instances[i].crashed) {
        ExpandInstance(world, i);
      }
    }
    for (size_t i = 0; i < world.delayed.size(); ++i) {
      DeliverDelayed(world, i);
    }
    if (world.age + 1 < options_.ages.size()) {
      WorldType next = world;
      ++next.age;
      Visit(next);
    }
    const bool swept =
        world.claim && ClaimMayBeDeleted(FromEpoch(kRequestTime), kLimits,
                                         Now(world, options_.sweeper_offset));
    if (swept) {
      WorldType next = world;
      next.claim.reset();
      Visit(next);
    }
  }

  void ExpandInstance(const WorldType& world, size_t i) {
    const EntryType& instance = world.instances[i];
    if (!instance.started) {
      Step(world, i, [](EntryType& self, WallTime now) {
        self.started = true;
        return self.machine.Start(now);
      });
      return;
    }
    if (options_.deadlines && !instance.deadline_passed &&
        instance.verdicts.empty()) {
      Step(world, i, [](EntryType& self, WallTime now) {
        self.deadline_passed = true;
        return self.machine.OnDeadline(now);
      });
    }
    HearResults(world, i);
    if (!instance.outbox.empty()) {
      Perform(world, i);
    }
    if (world.faults_left > 0) {
      WorldType next = world;
      --next.faults_left;
      next.instances[i].crashed = true;
      Visit(next);
    }
  }

  template <typename Event>
  void Step(const WorldType& world, size_t i, Event event) {
    WorldType next = world;
    EntryType& self = next.instances[i];
    // Callers only listen, so a verdict that is given at once stands for one
    // that is given later.
    for (ClaimAction& action : event(self, Now(next, self.clock_offset))) {
      if (const auto* verdict = std::get_if<ReplyToCaller>(&action)) {
        self.verdicts.push_back(verdict->outcome);
      } else {
        self.outbox.push_back(std::move(action));
      }
    }
    Visit(next);
  }

  void HearResults(const WorldType& world, size_t i) {
    const EntryType& instance = world.instances[i];
    if (!instance.writes.empty()) {
      Step(world, i, [](EntryType& self, WallTime now) {
        const ClaimWriteResult result = self.writes.front();
        self.writes.erase(self.writes.begin());
        return self.machine.OnWrite(result, now);
      });
    }
    if (!instance.reads.empty()) {
      Step(world, i, [](EntryType& self, WallTime now) {
        const ClaimReadResult result = self.reads.front();
        self.reads.erase(self.reads.begin());
        return self.machine.OnRead(result, now);
      });
    }
    if (!instance.sub_answers.empty()) {
      Step(world, i, [](EntryType& self, WallTime now) {
        SubAnswer answer;
        answer.outcome = self.sub_answers.front();
        self.sub_answers.erase(self.sub_answers.begin());
        return self.machine.OnSubAnswer(answer, now);
      });
    }
  }

  void Perform(const WorldType& world, size_t i) {
    WorldType next = world;
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

  static ClaimWriteResult Apply(WorldType& world, const WriteClaim& write) {
    const uint64_t present = world.claim ? world.claim->version : 0;
    if (present != write.expected) {
      return {ClaimWriteResult::Kind::kConflict, present};
    }
    world.claim = StoredClaim{++world.last_version, write.record};
    return {ClaimWriteResult::Kind::kWritten, world.last_version};
  }

  void PerformWrite(const WorldType& world, size_t i, const WriteClaim& write) {
    WorldType fine = world;
    fine.instances[i].writes.push_back(Apply(fine, write));
    Visit(fine);
    if (world.faults_left == 0) {
      return;
    }
    WorldType faulty = world;
    --faulty.faults_left;
    const auto with = [&](WorldType next, ClaimWriteResult::Kind kind) {
      next.instances[i].writes.push_back({kind, 0});
      Visit(next);
    };
    with(faulty, ClaimWriteResult::Kind::kNotSent);
    with(faulty, ClaimWriteResult::Kind::kAmbiguous);  // Lost on the way.
    WorldType applied = faulty;
    Apply(applied, write);
    with(applied, ClaimWriteResult::Kind::kAmbiguous);
    WorldType held_back = faulty;
    held_back.delayed.push_back({i, write});
    with(held_back, ClaimWriteResult::Kind::kAmbiguous);
  }

  void PerformRead(const WorldType& world, size_t i) {
    WorldType fine = world;
    ClaimReadResult result{.kind = ClaimReadResult::Kind::kAbsent};
    if (world.claim) {
      result = {ClaimReadResult::Kind::kFound, world.claim->version,
                world.claim->record};
    }
    fine.instances[i].reads.push_back(result);
    Visit(fine);
    if (world.faults_left > 0) {
      WorldType faulty = world;
      --faulty.faults_left;
      faulty.instances[i].reads.push_back({});
      Visit(faulty);
    }
  }

  void PerformSend(const WorldType& world, size_t i) {
    WorldType ran = world;
    ++ran.instances[i].executions;
    ran.instances[i].sub_answers.push_back(Outcome::kAnswered);
    Visit(ran);
    WorldType refused = world;
    refused.instances[i].sub_answers.push_back(Outcome::kNotRun);
    Visit(refused);
    if (world.faults_left == 0) {
      return;
    }
    WorldType lost = world;
    --lost.faults_left;
    lost.instances[i].sub_answers.push_back(Outcome::kUnknown);
    Visit(lost);
    WorldType answer_lost = lost;
    ++answer_lost.instances[i].executions;
    Visit(answer_lost);
    WorldType held_back = lost;
    held_back.delayed.push_back({i, std::nullopt});
    Visit(held_back);
  }

  void DeliverDelayed(const WorldType& world, size_t index) {
    WorldType next = world;
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
    if (const auto* verdict = std::get_if<ReplyToCaller>(&action)) {
      return "v" + std::to_string(static_cast<int>(verdict->outcome));
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
    for (const Outcome outcome : instance.verdicts) {
      text += ";v" + std::to_string(static_cast<int>(outcome));
    }
    return text;
  }

  static std::string Digest(const WorldType& world) {
    std::string text = std::to_string(world.age) + "/" +
                       std::to_string(world.faults_left) + "/" +
                       std::to_string(world.last_version) + "/";
    if (world.claim) {
      text += std::to_string(world.claim->version) + world.claim->record.token +
              std::string(ClaimStateName(world.claim->record.state));
    }
    for (const EntryType& instance : world.instances) {
      text += "\n" + DescribeInstance(instance);
    }
    for (const Delayed& delayed : world.delayed) {
      text += "\nd" + std::to_string(delayed.instance);
      text += delayed.write ? DescribeAction(*delayed.write) : "s";
    }
    return text;
  }

  const Options options_;
  Findings findings_;
  std::set<std::pair<uint64_t, uint64_t>> seen_;
  std::vector<WorldType> pending_;
};

constexpr std::chrono::milliseconds kNone{0};
constexpr std::chrono::milliseconds kSkew = kLimits.clock_skew;

// Fresh, expired for every right clock, and old enough to be deleted.
const std::vector<std::chrono::milliseconds> kRightClockAges = {
    kNone, kLimits.retention, kLimits.retention + kSkew * 2};

// The last age that the slowest clock accepts, and the first that the fastest
// one deletes.
const std::vector<std::chrono::milliseconds> kSkewedAges = {
    kNone, kLimits.retention, kLimits.retention + std::chrono::milliseconds(1)};

template <typename Machine>
Findings Explore(Options options) {
  const Findings findings = Explorer<Machine>(std::move(options)).Run();
  cr_log_info("%zu states, %zu doubled, %zu false not_run, %zu answered",
              findings.states, findings.doubled, findings.false_not_run,
              findings.answered);
  return findings;
}

void ExpectSafe(const Findings& findings) {
  cr_expect(findings.doubled == 0);
  cr_expect(findings.false_not_run == 0);
  cr_expect(findings.false_answer == 0);
  cr_expect(findings.two_verdicts == 0);
  cr_expect(findings.answered > 0);
}

Test(ClaimModel, TwoAttemptsWithTwoFaultsRunAtMostOnce) {
  ExpectSafe(Explore<ClaimMachine>({.clock_offsets = {kNone, kNone},
                                    .ages = kRightClockAges,
                                    .faults = 2,
                                    .deadlines = false}));
}

Test(ClaimModel, TwoAttemptsWithOneFaultAndDeadlinesRunAtMostOnce) {
  ExpectSafe(Explore<ClaimMachine>(
      {.clock_offsets = {kNone, kNone}, .ages = kRightClockAges, .faults = 1}));
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

// Shows that the checker reaches the deletion of claims: a clock that is wrong
// by more than the configured skew does break the promise.
Test(ClaimModel, FindsTheDoubleRunOfAClockBeyondTheSkew) {
  const Findings findings =
      Explore<ClaimMachine>({.clock_offsets = {kNone, -3 * kSkew},
                             .sweeper_offset = kSkew,
                             .ages = kSkewedAges});
  cr_expect(findings.doubled > 0);
}

Test(ClaimModel, FindsTheDoubleRunWithoutClaims) {
  const Findings findings = Explore<UnclaimedMachine>(
      {.clock_offsets = {kNone, kNone}, .ages = {kNone}});
  cr_expect(findings.doubled > 0);
}

Test(ClaimModel, FindsTheDoubleRunOfALeaseThatLapsesDuringAPause) {
  const Findings findings = Explore<LeaseMachine>(
      {.clock_offsets = {kNone, kNone}, .ages = kRightClockAges});
  cr_expect(findings.doubled > 0);
}

}  // namespace
}  // namespace greengage
