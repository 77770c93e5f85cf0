// Encodes the datagrams of the membership protocol as protobuf.
#ifndef GREENGAGE_PROTOCOL_DATAGRAM_CODEC_H_
#define GREENGAGE_PROTOCOL_DATAGRAM_CODEC_H_

#include <string>
#include <string_view>

#include "greengage/coordination/datagram.h"
#include "greengage/state/result.h"

namespace greengage {

// The bytes of one datagram, at most MaxEncodedBytes() of them.
std::string EncodeDatagram(const Datagram& datagram);

// Fails with kMalformedMessage if the bytes are no protobuf message, or name
// no sender, an unknown kind or state, or an impossible port.
Result<Datagram> DecodeDatagram(std::string_view bytes);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_DATAGRAM_CODEC_H_
