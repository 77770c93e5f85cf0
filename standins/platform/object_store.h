// The platform's objects: values with versions and conditional updates.
#ifndef STANDINS_PLATFORM_OBJECT_STORE_H_
#define STANDINS_PLATFORM_OBJECT_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "greengage/state/time.h"

namespace greengage::standins {

struct StoredObject {
  uint64_t version = 0;
  std::string value;
  WallTime modified;
};

struct ObjectName {
  std::string kind;
  std::string name;

  bool operator==(const ObjectName&) const = default;
  bool operator<(const ObjectName& other) const {
    return std::tie(kind, name) < std::tie(other.kind, other.name);
  }
};

// What a conditional write came to. `version` is the new version if it took
// effect; otherwise the present one, 0 if there is no such object.
struct WriteResult {
  bool written = false;
  uint64_t version = 0;
};

// One listed object, without its value.
struct ListedObject {
  std::string name;
  uint64_t version = 0;
  WallTime modified;
};

// Not thread-safe.
class ObjectStore {
 public:
  const StoredObject* Find(const ObjectName& name) const;

  // Writes if the present version is `expected` (0: there is none); without
  // `expected`, always.
  WriteResult Put(const ObjectName& name,
                  std::optional<uint64_t> expected,
                  std::string value,
                  WallTime now);

  // Deletes under the same condition. An absent object is no success.
  WriteResult Delete(const ObjectName& name, std::optional<uint64_t> expected);

  // At most `limit` objects of `kind` with names above `after`, by name.
  std::vector<ListedObject> List(const std::string& kind,
                                 const std::string& after,
                                 size_t limit) const;

 private:
  std::map<ObjectName, StoredObject> objects_;
  uint64_t last_version_ = 0;
};

}  // namespace greengage::standins

#endif  // STANDINS_PLATFORM_OBJECT_STORE_H_
