// Reads and prints single values of settings.
#ifndef GREENGAGE_PROTOCOL_SETTING_VALUE_H_
#define GREENGAGE_PROTOCOL_SETTING_VALUE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "greengage/protocol/ini_document.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/key_range.h"
#include "greengage/state/result.h"

namespace greengage {

// What is allowed, in words, for failures and reference pages.
inline constexpr char kNameRule[] =
    "1 to 64 characters out of A-Z a-z 0-9 . _ -";
inline constexpr char kEndpointRule[] = "IP:PORT";
inline constexpr char kEndpointsRule[] = "IP:PORT, separated by spaces";
inline constexpr char kKeyRangeRule[] = "FIRST-LAST, both included";
std::string NumberRule(uint64_t minimum, uint64_t maximum);
std::string DecimalRule(double minimum, double maximum);

// As short as it can be read back.
std::string PrintDecimal(double value);

// All fail with kInvalidArgument for a wrong form, ParseNumber with
// kOutOfRange and ParseEndpoints with kDuplicate besides. The detail says what
// was read and what is allowed; there is no subject.
Result<std::string> ParseName(const std::string& text);
Result<double> ParseDecimal(const std::string& text,
                            double minimum,
                            double maximum);
Result<uint64_t> ParseNumber(const std::string& text,
                             uint64_t minimum,
                             uint64_t maximum);
Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text);
Result<KeyRange> ParseKeyRange(const std::string& text);

std::string PrintEndpoints(const std::vector<Endpoint>& endpoints);

// The failure of a value that is none of `allowed`.
Failure InvalidChoice(const std::string& value, const std::string& allowed);

bool HasKey(const IniSection& section, const std::string& key);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_SETTING_VALUE_H_
