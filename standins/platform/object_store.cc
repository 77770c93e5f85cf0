#include "standins/platform/object_store.h"

#include <utility>

namespace greengage::standins {

const StoredObject* ObjectStore::Find(const ObjectName& name) const {
  const auto found = objects_.find(name);
  return found == objects_.end() ? nullptr : &found->second;
}

WriteResult ObjectStore::Put(const ObjectName& name,
                             std::optional<uint64_t> expected,
                             std::string value,
                             WallTime now) {
  const StoredObject* current = Find(name);
  const uint64_t version = current == nullptr ? 0 : current->version;
  if (expected && *expected != version) {
    return {.written = false, .version = version};
  }
  objects_[name] = {++last_version_, std::move(value), now};
  return {.written = true, .version = last_version_};
}

WriteResult ObjectStore::Delete(const ObjectName& name,
                                std::optional<uint64_t> expected) {
  const StoredObject* current = Find(name);
  if (current == nullptr) {
    return {};
  }
  if (expected && *expected != current->version) {
    return {.written = false, .version = current->version};
  }
  objects_.erase(name);
  return {.written = true, .version = ++last_version_};
}

std::vector<ListedObject> ObjectStore::List(const std::string& kind,
                                            const std::string& after,
                                            size_t limit) const {
  std::vector<ListedObject> listed;
  for (auto object = objects_.upper_bound({kind, after});
       object != objects_.end() && object->first.kind == kind &&
       listed.size() < limit;
       ++object) {
    listed.push_back(
        {object->first.name, object->second.version, object->second.modified});
  }
  return listed;
}

}  // namespace greengage::standins
