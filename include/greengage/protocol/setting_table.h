// Tables that bind INI keys to the members of a struct. Parsing, printing and
// the reference page all use the same table.
#ifndef GREENGAGE_PROTOCOL_SETTING_TABLE_H_
#define GREENGAGE_PROTOCOL_SETTING_TABLE_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "greengage/protocol/ini_document.h"
#include "greengage/protocol/setting_value.h"

namespace greengage {

// Documentation of one key.
struct SettingInfo {
  std::string section;
  std::string key;
  std::string type;
  std::string allowed;                       // Such as "1 to 64".
  std::optional<std::string> default_value;  // Empty if the key is required.
  std::string description;
};

// Inclusive bounds and default of a number.
struct NumberBounds {
  uint64_t minimum = 0;
  uint64_t maximum = UINT64_MAX;
  std::optional<uint64_t> default_value;  // Empty if the key is required.
  std::string unit;
};

// The keys of one kind of section, bound to the members of `Target`.
template <typename Target>
class SettingTable {
 public:
  // Parses `value` into one member. Returns a failure without a subject if the
  // value is invalid.
  using Assign =
      std::function<std::optional<Failure>(Target&, const std::string& value)>;
  using Print = std::function<std::string(const Target&)>;

  struct Setting {
    SettingInfo info;
    Assign assign;
    Print print;
  };

  // Assigns the settings that are added after this call to `section`.
  SettingTable& Section(std::string section) {
    section_ = std::move(section);
    return *this;
  }

  // Adds a name that consists of letters, digits, '.', '_' and '-'.
  SettingTable& Name(std::string key,
                     std::string Target::*member,
                     std::optional<std::string> default_value,
                     std::string description) {
    return Add<std::string>(std::move(key), member, "name", kNameRule,
                            std::move(default_value), std::move(description),
                            ParseName,
                            [](const std::string& name) { return name; });
  }

  template <std::unsigned_integral Number>
  SettingTable& Integer(std::string key,
                        Number Target::*member,
                        NumberBounds bounds,
                        std::string description) {
    return AddNumber<Number>(
        std::move(key), member, std::move(bounds), std::move(description),
        [](uint64_t number) { return static_cast<Number>(number); },
        [](Number number) { return static_cast<uint64_t>(number); });
  }

  SettingTable& Decimal(std::string key,
                        double Target::*member,
                        double minimum,
                        double maximum,
                        std::optional<std::string> default_value,
                        std::string description) {
    return AddDecimal<double>(
        std::move(key), member, "decimal number", minimum, maximum,
        std::move(default_value), std::move(description),
        [](double number) { return number; },
        [](double number) { return number; });
  }

  // Adds a duration that is written as a decimal number of seconds.
  SettingTable& Seconds(std::string key,
                        std::chrono::duration<double> Target::*member,
                        double minimum,
                        double maximum,
                        std::optional<std::string> default_value,
                        std::string description) {
    using DecimalSeconds = std::chrono::duration<double>;
    return AddDecimal<DecimalSeconds>(
        std::move(key), member, "decimal number of s", minimum, maximum,
        std::move(default_value), std::move(description),
        [](double seconds) { return DecimalSeconds(seconds); },
        [](DecimalSeconds time) { return time.count(); });
  }

  // Adds a duration that is written as a whole number in the unit of the
  // member, which must be milliseconds or seconds.
  template <typename Rep, typename Period>
  SettingTable& Time(std::string key,
                     std::chrono::duration<Rep, Period> Target::*member,
                     NumberBounds bounds,
                     std::string description) {
    using Duration = std::chrono::duration<Rep, Period>;
    bounds.unit =
        std::string(std::ratio_equal_v<Period, std::milli> ? "ms" : "s");
    return AddNumber<Duration>(
        std::move(key), member, std::move(bounds), std::move(description),
        [](uint64_t number) { return Duration(static_cast<Rep>(number)); },
        [](Duration time) { return static_cast<uint64_t>(time.count()); });
  }

  // Adds a setting whose value is one of the names in `choices`.
  template <typename Choice>
  SettingTable& OneOf(std::string key,
                      Choice Target::*member,
                      std::vector<std::pair<std::string, Choice>> choices,
                      std::optional<std::string> default_value,
                      std::string description) {
    std::string allowed;
    for (const auto& [name, choice] : choices) {
      allowed += (allowed.empty() ? "" : ", ") + name;
    }
    return Add<Choice>(
        std::move(key), member, "choice", "one of " + allowed,
        std::move(default_value), std::move(description),
        [choices, allowed](const std::string& value) -> Result<Choice> {
          for (const auto& [name, choice] : choices) {
            if (name == value) {
              return choice;
            }
          }
          return InvalidChoice(value, allowed);
        },
        [choices](const Choice& wanted) {
          for (const auto& [name, choice] : choices) {
            if (choice == wanted) {
              return name;
            }
          }
          return std::string();
        });
  }

  SettingTable& Address(std::string key,
                        Endpoint Target::*member,
                        std::optional<std::string> default_value,
                        std::string description) {
    return Add<Endpoint>(
        std::move(key), member, "end point", kEndpointRule,
        std::move(default_value), std::move(description),
        [](const std::string& value) { return ParseEndpoint(value); },
        [](const Endpoint& endpoint) {
          return endpoint.host.empty() ? std::string() : ToString(endpoint);
        });
  }

  // Adds a list of end points separated by spaces. The list may be empty.
  SettingTable& Addresses(std::string key,
                          std::vector<Endpoint> Target::*member,
                          std::optional<std::string> default_value,
                          std::string description) {
    return Add<std::vector<Endpoint>>(std::move(key), member, "end points",
                                      kEndpointsRule, std::move(default_value),
                                      std::move(description), ParseEndpoints,
                                      PrintEndpoints);
  }

  // Adds pairs of names separated by spaces. There may be none.
  SettingTable& NamePairs(std::string key,
                          std::map<std::string, std::string> Target::*member,
                          std::optional<std::string> default_value,
                          std::string description) {
    return Add<std::map<std::string, std::string>>(
        std::move(key), member, "pairs of names", kNamePairsRule,
        std::move(default_value), std::move(description), ParseNamePairs,
        PrintNamePairs);
  }

  SettingTable& Keys(std::string key,
                     KeyRange Target::*member,
                     std::string description) {
    return Add<KeyRange>(std::move(key), member, "key range", kKeyRangeRule,
                         std::nullopt, std::move(description), ParseKeyRange,
                         [](const KeyRange& range) { return ToString(range); });
  }

  const std::vector<Setting>& settings() const { return settings_; }

  // Sets each member that is not required to its default.
  void AssignDefaults(Target& target) const {
    for (const Setting& setting : settings_) {
      if (setting.info.default_value) {
        (void)setting.assign(target, *setting.info.default_value);
      }
    }
  }

  // Reads the entries of `section` into `target`. `kind` is the section name in
  // the table. Appends a failure for every unknown, missing or invalid key.
  void Read(const IniDocument& document,
            const IniSection& section,
            const std::string& kind,
            Target& target,
            std::vector<Failure>& failures) const;

  // Appends a failure for every required key whose section is missing from
  // `document`. Only for tables whose sections occur once in a file.
  void CheckRequiredKeys(const IniDocument& document,
                         std::vector<Failure>& failures) const;

  // Returns the values of `target` in the order of the table. Only for tables
  // whose sections occur once in a file.
  std::vector<IniSection> ToSections(const Target& target) const;

  // Returns the names of all sections, separated by commas.
  std::string SectionNames() const;

 private:
  template <typename Value>
  SettingTable& Add(std::string key,
                    Value Target::*member,
                    std::string type,
                    std::string allowed,
                    std::optional<std::string> default_value,
                    std::string description,
                    std::function<Result<Value>(const std::string&)> parse,
                    std::function<std::string(const Value&)> print) {
    Setting setting;
    setting.info = {
        section_,           std::move(key),           std::move(type),
        std::move(allowed), std::move(default_value), std::move(description)};
    setting.assign = [member, parse = std::move(parse)](
                         Target& target,
                         const std::string& text) -> std::optional<Failure> {
      Result<Value> value = parse(text);
      if (!value) {
        return value.last_reason();
      }
      target.*member = std::move(value).value();
      return std::nullopt;
    };
    setting.print = [member, print = std::move(print)](const Target& target) {
      return print(target.*member);
    };
    settings_.push_back(std::move(setting));
    return *this;
  }

  template <typename Value>
  SettingTable& AddNumber(std::string key,
                          Value Target::*member,
                          NumberBounds bounds,
                          std::string description,
                          std::function<Value(uint64_t)> from_number,
                          std::function<uint64_t(Value)> to_number) {
    const std::optional<std::string> default_value =
        bounds.default_value
            ? std::optional(std::to_string(*bounds.default_value))
            : std::nullopt;
    const std::string type =
        bounds.unit.empty() ? "number" : "number of " + bounds.unit;
    return Add<Value>(
        std::move(key), member, type,
        NumberRule(bounds.minimum, bounds.maximum), default_value,
        std::move(description),
        [bounds, from_number](const std::string& text) -> Result<Value> {
          const Result<uint64_t> number =
              ParseNumber(text, bounds.minimum, bounds.maximum);
          return number ? Result<Value>(from_number(*number))
                        : Result<Value>(number.last_reason());
        },
        [to_number](const Value& value) {
          return std::to_string(to_number(value));
        });
  }

  template <typename Value>
  SettingTable& AddDecimal(std::string key,
                           Value Target::*member,
                           std::string type,
                           double minimum,
                           double maximum,
                           std::optional<std::string> default_value,
                           std::string description,
                           std::function<Value(double)> from_number,
                           std::function<double(Value)> to_number) {
    return Add<Value>(
        std::move(key), member, std::move(type), DecimalRule(minimum, maximum),
        std::move(default_value), std::move(description),
        [minimum, maximum,
         from_number](const std::string& text) -> Result<Value> {
          const Result<double> number = ParseDecimal(text, minimum, maximum);
          return number ? Result<Value>(from_number(*number))
                        : Result<Value>(number.last_reason());
        },
        [to_number](const Value& value) {
          return PrintDecimal(to_number(value));
        });
  }

  const Setting* Find(const std::string& kind, const std::string& key) const {
    for (const Setting& setting : settings_) {
      if (setting.info.section == kind && setting.info.key == key) {
        return &setting;
      }
    }
    return nullptr;
  }

  std::string KeysOf(const std::string& kind) const {
    std::string keys;
    for (const Setting& setting : settings_) {
      if (setting.info.section == kind) {
        keys += (keys.empty() ? "" : ", ") + setting.info.key;
      }
    }
    return keys;
  }

  std::string section_;
  std::vector<Setting> settings_;
};

template <typename Target>
void SettingTable<Target>::Read(const IniDocument& document,
                                const IniSection& section,
                                const std::string& kind,
                                Target& target,
                                std::vector<Failure>& failures) const {
  for (const IniEntry& entry : section.entries) {
    const std::string subject = document.Subject(section.name, entry.key);
    const std::string line = "line " + std::to_string(entry.line) + ": ";
    const Setting* setting = Find(kind, entry.key);
    if (setting == nullptr) {
      failures.push_back({FailureKind::kUnknownKey, subject,
                          line + "expected one of " + KeysOf(kind)});
      continue;
    }
    if (const auto failure = setting->assign(target, entry.value)) {
      failures.push_back({failure->kind, subject, line + failure->detail});
    }
  }
  for (const Setting& setting : settings_) {
    if (setting.info.section == kind && !setting.info.default_value &&
        !HasKey(section, setting.info.key)) {
      failures.push_back({FailureKind::kMissingKey,
                          document.Subject(section.name, setting.info.key),
                          "line " + std::to_string(section.line) +
                              ": the key is required; expected " +
                              setting.info.allowed});
    }
  }
}

template <typename Target>
void SettingTable<Target>::CheckRequiredKeys(
    const IniDocument& document,
    std::vector<Failure>& failures) const {
  for (const Setting& setting : settings_) {
    if (!setting.info.default_value &&
        document.Find(setting.info.section) == nullptr) {
      failures.push_back(
          {FailureKind::kMissingKey,
           document.Subject(setting.info.section, setting.info.key),
           "the key is required; expected " + setting.info.allowed});
    }
  }
}

template <typename Target>
std::vector<IniSection> SettingTable<Target>::ToSections(
    const Target& target) const {
  std::vector<IniSection> sections;
  for (const Setting& setting : settings_) {
    if (sections.empty() || sections.back().name != setting.info.section) {
      sections.push_back({setting.info.section, 0, {}});
    }
    sections.back().entries.push_back(
        {setting.info.key, setting.print(target), 0});
  }
  return sections;
}

template <typename Target>
std::string SettingTable<Target>::SectionNames() const {
  std::string names;
  std::string last;
  for (const Setting& setting : settings_) {
    if (setting.info.section != last) {
      last = setting.info.section;
      names += (names.empty() ? "" : ", ") + last;
    }
  }
  return names;
}

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_SETTING_TABLE_H_
