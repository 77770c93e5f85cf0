#include "greengage/protocol/instance_settings.h"

#include <cstdlib>
#include <fstream>
#include <iterator>

#include "greengage/protocol/settings_reference.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr char kMinimalSettings[] =
    "[instance]\nid = a1\ndata_centre = a\n"
    "[listen]\nhttp = 127.0.0.1:80\npeer = 127.0.0.1:81\n"
    "gossip = 127.0.0.1:81\n"
    "[platform]\nendpoint = 127.0.0.1:90\n";

}  // namespace

Test(InstanceSettings, AppliesDefaults) {
  const auto settings = ParseInstanceSettings(kMinimalSettings, "f");
  cr_assert(settings.ok());
  cr_assert(settings->data_centre == "a");
  cr_assert(settings->threads == 2);
  cr_assert(settings->seeds.empty());
  cr_assert(settings->http_body_bytes == 65536);
  cr_assert(settings->platform_timeout == std::chrono::seconds(2));
  cr_assert(settings->log_format == LogFormat::kText);
}

Test(InstanceSettings, RoundTrips) {
  const std::string text =
      std::string(kMinimalSettings) +
      "[seeds]\ngossip = 127.0.0.1:1 [::1]:2\n[log]\nformat = json\n"
      "[stop]\nnotice_ms = 0\n";
  const auto settings = ParseInstanceSettings(text, "f");
  cr_assert(settings.ok());
  cr_assert(settings->seeds.size() == 2);
  cr_assert(settings->log_format == LogFormat::kJson);
  const std::string printed = PrintInstanceSettings(*settings);
  const auto again = ParseInstanceSettings(printed, "f");
  cr_assert(again.ok());
  cr_assert(PrintInstanceSettings(*again) == printed);
}

Test(InstanceSettings, ReportsAllFailuresAtOnce) {
  const auto settings = ParseInstanceSettings(
      "[instance]\nid = a b\n[listen]\nhttp = 0.0.0.0:80\n"
      "peer = 127.0.0.1:81\ngossip = localhost:81\n[http]\nbody_bytes = 1\n"
      "[stop]\nnotice_s = 1\n[https]\n",
      "f");
  cr_assert(!settings.ok());
  const std::pair<FailureKind, std::string> expected[] = {
      {FailureKind::kInvalidArgument, "f [instance] id"},
      {FailureKind::kMissingKey, "f [instance] data_centre"},
      {FailureKind::kInvalidArgument, "f [listen] gossip"},
      {FailureKind::kOutOfRange, "f [http] body_bytes"},
      {FailureKind::kUnknownKey, "f [stop] notice_s"},
      {FailureKind::kUnknownSection, "f [https]"},
      {FailureKind::kMissingKey, "f [platform] endpoint"},
      {FailureKind::kInvalidArgument, "f [listen] http"},
  };
  cr_assert(settings.failures().size() == std::size(expected));
  for (size_t index = 0; index < std::size(expected); ++index) {
    const Failure& failure = settings.failures()[index];
    cr_expect(failure.kind == expected[index].first);
    cr_expect(failure.subject == expected[index].second, "%s",
              Describe(failure).c_str());
  }
}

Test(InstanceSettings, RejectsSameAddressForTwoListeners) {
  std::string text = kMinimalSettings;
  text.replace(text.find(":81"), 3, ":80");
  const auto settings = ParseInstanceSettings(text, "f");
  cr_assert(settings.failures().size() == 1);
  cr_assert(settings.failures().front().kind == FailureKind::kDuplicate);
}

Test(SettingsReference, PageMatchesTables) {
  std::ifstream file(GREENGAGE_SOURCE_DIR "/docs/SETTINGS.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  cr_assert(page == SettingsMarkdown(),
            "run: greengagectl settings --markdown > docs/SETTINGS.md");
}

}  // namespace greengage
