#include <utility>

#include "greengage/protocol/configuration_delta.h"
#include "protocol/peer.pb.h"

namespace greengage {

namespace {

void WriteDelta(const ConfigurationDelta& delta,
                wire::ConfigurationReply& written) {
  written.set_head(delta.head);
  written.set_text_hash(delta.text_hash);
  for (const SectionText& section : delta.changed) {
    wire::ConfigurationSection* changed = written.add_changed();
    changed->set_name(section.name);
    changed->set_text(section.text);
    changed->set_previous(section.previous);
  }
  for (const std::string& name : delta.removed) {
    written.add_removed(name);
  }
}

ConfigurationDelta ReadDelta(const wire::ConfigurationReply& reply) {
  ConfigurationDelta delta;
  delta.head = reply.head();
  delta.text_hash = reply.text_hash();
  for (const wire::ConfigurationSection& section : reply.changed()) {
    delta.changed.push_back(
        {section.name(), section.text(), section.previous()});
  }
  delta.removed = {reply.removed().begin(), reply.removed().end()};
  return delta;
}

}  // namespace

std::string SerializeConfigurationReply(const ConfigurationReply& reply) {
  wire::ConfigurationReply written;
  written.mutable_stamp()->set_milliseconds(reply.stamp.milliseconds);
  written.mutable_stamp()->set_counter(reply.stamp.counter);
  written.set_version(reply.version);
  if (reply.delta) {
    written.set_base_version(reply.base_version);
    WriteDelta(*reply.delta, written);
  } else {
    written.set_text(reply.text);
  }
  return written.SerializeAsString();
}

Result<ConfigurationReply> ParseConfigurationReply(std::string_view message) {
  wire::ConfigurationReply read;
  if (!read.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    return Failure{FailureKind::kMalformedMessage, "configuration",
                   "not a message of this protocol"};
  }
  ConfigurationReply reply;
  reply.stamp = {read.stamp().milliseconds(), read.stamp().counter()};
  reply.version = read.version();
  reply.base_version = read.base_version();
  if (reply.base_version != 0) {
    reply.delta = ReadDelta(read);
  } else {
    reply.text = std::move(*read.mutable_text());
  }
  return reply;
}

}  // namespace greengage
