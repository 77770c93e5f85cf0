// What instances tell each other about the quotas of organisations.
#ifndef GREENGAGE_COORDINATION_QUOTA_MESSAGES_H_
#define GREENGAGE_COORDINATION_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "greengage/state/time.h"

namespace greengage {

// The requests of an organisation at one instance.
struct QuotaCounts {
  int64_t asked = 0;
  int64_t admitted = 0;  // Less those that turned out not to have run.

  bool operator==(const QuotaCounts&) const = default;
};

struct OrganisationUse {
  std::string organisation;
  QuotaCounts total;         // Since the start of the process.
  QuotaCounts acknowledged;  // The part of it that any ledger has confirmed.
  // The first ledger of the organisation does not answer the sender.
  bool is_replacement = false;
};

// A report without uses shows that the sender runs.
struct QuotaReport {
  std::string sender;     // Id of the instance.
  uint64_t process = 0;   // Differs for each process of the sender.
  uint64_t sequence = 0;  // Rises with each report of the process.
  std::vector<OrganisationUse> uses;
};

// How an organisation that exceeds its quota is limited.
struct QuotaShare {
  std::string organisation;
  double share = 1;  // Of the requests that are to be admitted, 0 to 1.
  Duration retry_after{};
};

// The answer to a report, or a notice to all instances.
struct QuotaDecision {
  std::string sender;     // Id of the instance that keeps the ledger.
  uint64_t process = 0;   // Of the report that is acknowledged; 0 if none.
  uint64_t sequence = 0;  // Of that report.
  std::vector<QuotaShare> shares;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_QUOTA_MESSAGES_H_
