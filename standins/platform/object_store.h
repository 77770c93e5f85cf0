// A store of versioned objects with conditional writes.
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

// The result of a conditional write. `version` is the new version if the write
// took effect; otherwise the current one, or 0 if the object does not exist.
struct WriteResult {
  bool written = false;
  uint64_t version = 0;
};

// An entry of a list, without the value of the object.
struct ListedObject {
  std::string name;
  uint64_t version = 0;
  WallTime modified;
};

// Not thread-safe.
class ObjectStore {
 public:
  const StoredObject* Find(const ObjectName& name) const;

  // Writes if the current version is `expected`, where 0 means that the object
  // does not exist. Without `expected` the write is unconditional.
  WriteResult Put(const ObjectName& name,
                  std::optional<uint64_t> expected,
                  std::string value,
                  WallTime now);

  // Deletes under the same condition. Deleting an object that does not exist
  // gives `written` false and version 0.
  WriteResult Delete(const ObjectName& name, std::optional<uint64_t> expected);

  // Returns at most `limit` objects of `kind` whose names are greater than
  // `after`, in the order of their names.
  std::vector<ListedObject> List(const std::string& kind,
                                 const std::string& after,
                                 size_t limit) const;

 private:
  std::map<ObjectName, StoredObject> objects_;
  uint64_t last_version_ = 0;
};

}  // namespace greengage::standins

#endif  // STANDINS_PLATFORM_OBJECT_STORE_H_
