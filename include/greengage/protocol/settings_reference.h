// Generates the reference page of all settings from the tables that parse them.
#ifndef GREENGAGE_PROTOCOL_SETTINGS_REFERENCE_H_
#define GREENGAGE_PROTOCOL_SETTINGS_REFERENCE_H_

#include <string>

namespace greengage {

// Returns the text of docs/SETTINGS.md.
std::string SettingsMarkdown();

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_SETTINGS_REFERENCE_H_
