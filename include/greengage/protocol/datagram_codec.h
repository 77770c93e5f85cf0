// Encodes the datagrams of the membership protocol as protobuf.
#ifndef GREENGAGE_PROTOCOL_DATAGRAM_CODEC_H_
#define GREENGAGE_PROTOCOL_DATAGRAM_CODEC_H_

#include <string>
#include <string_view>

#include "greengage/coordination/datagram.h"
#include "greengage/state/result.h"

namespace greengage {

// The result has at most MaxEncodedBytes(datagram) bytes.
std::string EncodeDatagram(const Datagram& datagram);

// Fails with kMalformedMessage if the bytes are not a protobuf message, or if
// the message has no sender, an unknown kind, or a member without an id, with
// an unknown state or with a port above 65535.
Result<Datagram> DecodeDatagram(std::string_view bytes);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_DATAGRAM_CODEC_H_
