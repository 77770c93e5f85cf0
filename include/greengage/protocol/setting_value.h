// Parses and prints the values of settings.
#ifndef GREENGAGE_PROTOCOL_SETTING_VALUE_H_
#define GREENGAGE_PROTOCOL_SETTING_VALUE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "greengage/protocol/ini_document.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/key_range.h"
#include "greengage/state/result.h"

namespace greengage {

// Descriptions of the allowed values, for failures and the reference page.
inline constexpr char kNameRule[] =
    "1 to 64 characters out of A-Z a-z 0-9 . _ -";
inline constexpr char kEndpointRule[] = "IP:PORT";
inline constexpr char kEndpointsRule[] = "IP:PORT, separated by spaces";
inline constexpr char kNamePairsRule[] = "NAME:NAME, separated by spaces";
inline constexpr char kKeyRangeRule[] = "FIRST-LAST, both included";
std::string NumberRule(uint64_t minimum, uint64_t maximum);
std::string DecimalRule(double minimum, double maximum);

// Prints the shortest text that parses to the same value.
std::string PrintDecimal(double value);

// All fail with kInvalidArgument for malformed text. ParseDecimal and
// ParseNumber also fail with kOutOfRange, and ParseEndpoints with kDuplicate.
// Failures have no subject.
Result<std::string> ParseName(const std::string& text);
Result<double> ParseDecimal(const std::string& text,
                            double minimum,
                            double maximum);
Result<uint64_t> ParseNumber(const std::string& text,
                             uint64_t minimum,
                             uint64_t maximum);
Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text);
Result<KeyRange> ParseKeyRange(const std::string& text);
// Fails with kDuplicate if a first name occurs twice.
Result<std::map<std::string, std::string>> ParseNamePairs(
    const std::string& text);

std::string PrintNamePairs(const std::map<std::string, std::string>& pairs);
std::string PrintEndpoints(const std::vector<Endpoint>& endpoints);

// Returns the failure for a value that is not one of `allowed`.
Failure InvalidChoice(const std::string& value, const std::string& allowed);

bool HasKey(const IniSection& section, const std::string& key);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_SETTING_VALUE_H_
