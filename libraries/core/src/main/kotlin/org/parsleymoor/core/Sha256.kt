package org.parsleymoor.core

import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 digest (FIPS 180-4) of these bytes in lower-case hexadecimal. */
public fun ByteArray.sha256Hex(): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(this))
