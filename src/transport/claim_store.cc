#include "greengage/transport/claim_store.h"

#include "greengage/protocol/claim_codec.h"

namespace greengage {
namespace {

ObjectKey ClaimKey(const std::string& name) {
  return ObjectKey{std::string(kClaimKind), name};
}

ClaimWriteResult ToClaimWriteResult(const PlatformWrite& write) {
  switch (write.outcome) {
    case WriteOutcome::kDone:
      return {ClaimWriteResult::Kind::kWritten, write.version};
    case WriteOutcome::kConflict:
      return {ClaimWriteResult::Kind::kConflict, write.version};
    case WriteOutcome::kRejected:
    case WriteOutcome::kUnavailable:
      return {ClaimWriteResult::Kind::kNotSent, 0};
    default:
      return {ClaimWriteResult::Kind::kAmbiguous, 0};
  }
}

ClaimReadResult ToClaimReadResult(const Result<PlatformObject>& read) {
  if (!read) {
    const bool missing = read.last_reason().kind == FailureKind::kNotFound;
    return {missing ? ClaimReadResult::Kind::kAbsent
                    : ClaimReadResult::Kind::kFailed};
  }
  Result<ClaimRecord> record = ParseClaim(read->value);
  if (!record) {
    return {ClaimReadResult::Kind::kFailed};
  }
  return {ClaimReadResult::Kind::kFound, read->version,
          std::move(record).value()};
}

}  // namespace

ClaimHooks MakeClaimHooks(
    const std::shared_ptr<PlatformClient>& platform,
    std::chrono::milliseconds timeout,
    std::function<void(Query, ConfigurationPtr, std::function<void(Answer)>)>
        send) {
  ClaimHooks hooks;
  hooks.write = [platform, timeout](
                    const std::string& name, uint64_t expected,
                    const ClaimRecord& record,
                    std::function<void(ClaimWriteResult)> done) {
    platform->Put(ClaimKey(name), expected, SerializeClaim(record),
                  std::chrono::steady_clock::now() + timeout,
                  [done = std::move(done)](const PlatformWrite& write) {
                    done(ToClaimWriteResult(write));
                  });
  };
  hooks.read = [platform, timeout](const std::string& name,
                                   std::function<void(ClaimReadResult)> done) {
    platform->Read(
        ClaimKey(name), std::chrono::steady_clock::now() + timeout,
        [done = std::move(done)](const Result<PlatformObject>& result) {
          done(ToClaimReadResult(result));
        });
  };
  hooks.send = std::move(send);
  return hooks;
}

}  // namespace greengage
