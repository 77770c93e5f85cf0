#include "greengage/state/configuration_version.h"

#include <criterion/criterion.h>

namespace greengage {

Test(ConfigurationVersion, ARestoredStoreDoesNotBringAnOlderOneBack) {
  const ConfigurationVersion active{10, {1, 76}};
  const ConfigurationVersion restored{5, {2, 74}};
  const ConfigurationVersion written_again{10, {2, 75}};
  const ConfigurationVersion next{12, {2, 76}};
  cr_assert(restored < active);
  cr_assert(active < written_again);
  cr_assert(written_again < next);
  cr_assert(active < next);
}

}  // namespace greengage
