"""Hash functions for texts that give the same result on every node."""

import xxhash


def hash64(text: str, seed: int = 0) -> int:
    """Return a 64-bit hash of `text`, which may have bytes beyond UTF-8."""
    data = text.encode("utf-8", "surrogateescape")
    return xxhash.xxh64_intdigest(data, seed)


def hash128_hex(text: str) -> str:
    """Return a 128-bit hash of `text` as 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(text.encode())
