"""Encodings of the platform's pages: MessagePack bodies and packets."""
import socket
import struct

SYN, ACK, FIN, RST = 1, 4, 8, 64
HEADER = struct.Struct("!BBIHIII4s4sHH")
HEADER_SIZE = 32
SUM = 0xC0FFEE11  # stands for the keyed sum of a caller's or host's packet


def pack(value):
    """Encodes a value as MessagePack."""
    if value is None:
        return b"\xc0"
    if value is True or value is False:
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        if 0 <= value < 128:
            return bytes([value])
        return b"\xcf" + struct.pack("!Q", value) if value >= 0 else b"\xd3" + struct.pack("!q", value)
    if isinstance(value, float):
        return b"\xcb" + struct.pack("!d", value)
    if isinstance(value, str):
        data = value.encode()
        if len(data) < 32:
            return bytes([0xA0 | len(data)]) + data
        return b"\xdb" + struct.pack("!I", len(data)) + data
    if isinstance(value, (bytes, bytearray)):
        return b"\xc6" + struct.pack("!I", len(value)) + bytes(value)
    if isinstance(value, (list, tuple)):
        return b"\xdd" + struct.pack("!I", len(value)) + b"".join(map(pack, value))
    if isinstance(value, dict):
        return (b"\xdf" + struct.pack("!I", len(value)) +
                b"".join(pack(k) + pack(v) for k, v in value.items()))
    raise TypeError(type(value))


def _take(data, at, form):
    size = struct.calcsize(form)
    return struct.unpack_from(form, data, at)[0], at + size


def _unpack(data, at):
    tag = data[at]
    at += 1
    if tag < 0x80:
        return tag, at
    if tag >= 0xE0:
        return tag - 256, at
    if 0x80 <= tag <= 0x8F:
        return _map(data, at, tag & 15)
    if 0x90 <= tag <= 0x9F:
        return _array(data, at, tag & 15)
    if 0xA0 <= tag <= 0xBF:
        return _text(data, at, tag & 31)
    if tag in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[tag], at
    numbers = {0xCA: "!f", 0xCB: "!d", 0xCC: "!B", 0xCD: "!H", 0xCE: "!I", 0xCF: "!Q",
               0xD0: "!b", 0xD1: "!h", 0xD2: "!i", 0xD3: "!q"}
    if tag in numbers:
        return _take(data, at, numbers[tag])
    sizes = {0xC4: "!B", 0xC5: "!H", 0xC6: "!I", 0xD9: "!B", 0xDA: "!H", 0xDB: "!I",
             0xDC: "!H", 0xDD: "!I", 0xDE: "!H", 0xDF: "!I"}
    size, at = _take(data, at, sizes[tag])
    if tag >= 0xDE:
        return _map(data, at, size)
    if tag >= 0xDC:
        return _array(data, at, size)
    if tag >= 0xD9:
        return _text(data, at, size)
    return bytes(data[at:at + size]), at + size


def _text(data, at, size):
    return data[at:at + size].decode(), at + size


def _array(data, at, size):
    items = []
    for _ in range(size):
        item, at = _unpack(data, at)
        items.append(item)
    return items, at


def _map(data, at, size):
    items = {}
    for _ in range(size):
        key, at = _unpack(data, at)
        items[key], at = _unpack(data, at)
    return items, at


def unpack(data):
    """Decodes a MessagePack value."""
    return _unpack(data, 0)[0]


class Packet:
    """A packet of a flow; addresses are texts."""

    __slots__ = ("flags", "pad", "sum", "length", "seq", "ack", "echo", "dst", "src",
                 "sport", "dport", "data")

    def __init__(self, flags, seq, ack, echo, src, sport, dst, dport, data=b"", check=SUM):
        self.flags, self.pad, self.sum, self.length = flags, 0, check, len(data)
        self.seq, self.ack, self.echo = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo
        self.src, self.sport, self.dst, self.dport, self.data = src, sport, dst, dport, data

    def encode(self):
        return HEADER.pack(self.flags, self.pad, self.sum, self.length, self.seq, self.ack,
                           self.echo, socket.inet_aton(self.dst), socket.inet_aton(self.src),
                           self.sport, self.dport) + self.data


def decode(data):
    """Decodes a packet, or returns None when it is no packet."""
    if len(data) < HEADER_SIZE:
        return None
    flags, _, check, length, seq, ack, echo, dst, src, sport, dport = HEADER.unpack_from(data)
    if length != len(data) - HEADER_SIZE:
        return None
    return Packet(flags, seq, ack, echo, socket.inet_ntoa(src), sport, socket.inet_ntoa(dst),
                  dport, bytes(data[HEADER_SIZE:]), check)
