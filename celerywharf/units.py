"""Sizes in bytes, and other limits of numbers."""

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
# Limits on what is received from other processes.
SMALL_MESSAGE_BYTES = 65_536  # 64 KiB
DOCUMENT_BYTES = 16_777_216  # 16 MiB
# Limit on a name in a message between hosts.  Names in documents have at most
# 200 characters; an incarnation adds its start to the name of its server.
MAX_NAME_CHARACTERS = 300
# The largest integer up to which all have an exact float.
MAX_EXACT_INTEGER = 9_007_199_254_740_992
